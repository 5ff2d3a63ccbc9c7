export * from './LinkSuspicion.js';
export type * from './LocalHealthMessage.js';
export * from './LocalHealthTask.js';
