export * as platform from './platform/index.js';
export * as upstreams from './upstreams/index.js';
