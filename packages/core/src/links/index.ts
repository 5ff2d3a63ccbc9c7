export * from './LinkFaultDetector.js';
export type * from './LocalHealthMessage.js';
export * from './LocalHealthTask.js';
export * from './ReachabilityDetector.js';
export * from './SequenceWindow.js';
