export type * from './PlatformAdapter.js';
export * from './FrontProcess.js';
export type * from './FrontSettings.js';
export * from './LogOutput.js';
export * from './ReadinessListener.js';
export * from './StandardLogOutput.js';
export * from './StructuredLog.js';
export * from './VmLoadMeter.js';
