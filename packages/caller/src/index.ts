export * as callers from './callers/index.js';
export * as links from './links/index.js';
export * as vms from './vms/index.js';
