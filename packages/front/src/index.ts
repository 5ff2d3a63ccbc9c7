export * as callers from './callers/index.js';
export * as catalogs from './catalogs/index.js';
export * as links from './links/index.js';
export * as metrics from './metrics/index.js';
export * as upstreams from './upstreams/index.js';
export * as vms from './vms/index.js';
