export type * from './Endpoint.js';
export * from './LinkTable.js';
export * from './PeerNetwork.js';
