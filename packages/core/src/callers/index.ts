export type * from './AddressMessage.js';
export * from './AddressTask.js';
export type * from './CallerRequest.js';
export * from './CallerRules.js';
export type * from './EvidenceMessage.js';
export * from './EvidenceTask.js';
export type * from './RequestMessage.js';
export * from './RequestTask.js';
