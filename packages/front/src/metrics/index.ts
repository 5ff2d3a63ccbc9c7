export * from './MetricsListener.js';
export * from './ProcessMetrics.js';
