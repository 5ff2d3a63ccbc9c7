export * from './LinkSuspicion.js';
export type * from './LocalHealthMessage.js';
export * from './LocalHealthTask.js';
export * from './ReachabilityCheck.js';
export * from './SequenceWindow.js';
