export * as callers from './callers/index.js';
export * as contracts from './contracts/index.js';
export * as upstreams from './upstreams/index.js';
export * as vms from './vms/index.js';
