export * from './FleetFixture.js';
export * from './FleetSize.js';
export * from './MeasuredVm.js';
export * from './SlopeBench.js';
