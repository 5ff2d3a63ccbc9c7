export * from './MetricsFlusher.js';
