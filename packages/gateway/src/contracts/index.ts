export * from './Catalog.js';
export type * from './CatalogChange.js';
export type * from './CatalogMessage.js';
export * from './CatalogTask.js';
export type * from './Configuration.js';
export type * from './Route.js';
export * from './RetainedInstances.js';
export * from './RouteTable.js';
export * from './TrafficSplit.js';
