export * from './ActiveVms.js';
export * from './EvidenceBatch.js';
export * from './FleetView.js';
export * from './FrontChoice.js';
export * from './PeerVm.js';
export type * from './MembershipMessage.js';
export * from './MembershipTask.js';
export type * from './VmHeartbeat.js';
