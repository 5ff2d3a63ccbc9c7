export * from './FrontChoice.js';
export * from './KnownVm.js';
export type * from './MembershipMessage.js';
export * from './MembershipTask.js';
export type * from './VmHeartbeat.js';
