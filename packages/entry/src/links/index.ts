export * from './HeaderFilter.js';
export * from './PeerCodec.js';
export * from './PeerConnections.js';
export * from './PeerRouter.js';
export * from './PeerSchema.js';
export * from './PeerServer.js';
export * from './PeerTransport.js';
export * from './TrpcPeerTransport.js';
