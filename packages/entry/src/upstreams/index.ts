export type * from './ConnectionMessage.js';
export * from './UpstreamConnections.js';
