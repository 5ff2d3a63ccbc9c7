export type * from './StoreMode.js';
export * from './StoreStandin.js';
