export * from './VmExchange.js';
export * from './VmLink.js';
