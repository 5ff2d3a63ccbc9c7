export * from './CallerExchange.js';
export * from './CallerListener.js';
export * from './CallerSockets.js';
export type * from './ListenerMessage.js';
export * from './ListenerRefusal.js';
export * from './MemberKeys.js';
export * from './ProblemDocument.js';
export * from './RequestHead.js';
