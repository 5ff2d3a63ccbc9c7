export type * from './Mailbox.js';
export * from './Task.js';
export * from './TaskScheduler.js';
