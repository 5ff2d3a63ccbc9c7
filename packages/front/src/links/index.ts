export * from './EvidenceCodec.js';
export * from './AddressListener.js';
export * from './HeartbeatSocket.js';
export * from './NewsClient.js';
export * from './NewsServer.js';
