export * from './CallRegistry.js';
export type * from './CallRecord.js';
export * from './CallerFleet.js';
export type * from './CallerSurroundings.js';
export * from './FakeCaller.js';
export type * from './KeptAddresses.js';
export * from './LoadGenerator.js';
export * from './ScriptedCaller.js';
export type * from './Sending.js';
