export * from './ConfigurationCheck.js';
export * from './DrainCheck.js';
export * from './ExecutionCheck.js';
export * from './FloorCheck.js';
export * from './PromiseCheck.js';
export * from './ResponseCheck.js';
export * from './ShutdownCheck.js';
