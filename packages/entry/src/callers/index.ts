export * from './CallerListener.js';
export type * from './ListenerMessage.js';
