export * from './BlockBuffer.js';
export * from './EvidenceCodec.js';
export * from './QuotaCodec.js';
export * from './ByteBudget.js';
export * from './AuxiliaryListener.js';
export * from './HeartbeatSocket.js';
export * from './CatalogUpdateClient.js';
export * from './CatalogUpdateServer.js';
