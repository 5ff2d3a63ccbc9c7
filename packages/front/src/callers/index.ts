export * from './CallerConnection.js';
export * from './CallerDialect.js';
export * from './CollectionPause.js';
export * from './ConnectionTable.js';
export * from './DirectoryDialect.js';
export * from './DirectoryListener.js';
export * from './FrontExchange.js';
export * from './FrontListener.js';
export type * from './FrontMessage.js';
