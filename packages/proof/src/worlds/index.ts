export * from './ActionInjector.js';
export * from './EventQueue.js';
export * from './ProofWorld.js';
export type * from './WorldAction.js';
export type * from './WorldEvent.js';
export type * from './WorldView.js';
