export * from './AnswerReader.js';
export * from './AttemptExchange.js';
export * from './CancelExchange.js';
export type * from './ConnectionMessage.js';
export * from './ConnectionPool.js';
export * from './Exchange.js';
export * from './ProbeExchange.js';
export * from './UpstreamConnection.js';
export * from './UpstreamConnections.js';
