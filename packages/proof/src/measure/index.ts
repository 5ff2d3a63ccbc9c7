export * from './ComparisonTable.js';
export * from './FaultScenario.js';
export * from './PolicyComparison.js';
export * from './PolicyMeasurement.js';
export * from './SpeedMeasurement.js';
