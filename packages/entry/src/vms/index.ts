export * from './EntryProcess.js';
export type * from './EntrySettings.js';
