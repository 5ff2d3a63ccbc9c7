export * as demo from './demo/index.js';
export * as platform from './platform/index.js';
export * as upstreams from './upstreams/index.js';
