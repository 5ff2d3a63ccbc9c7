export type * from './AttemptEnding.js';
export * from './DurationSamples.js';
export * from './ExploringPlacement.js';
export type * from './InstanceRecord.js';
export * from './PlacementPolicy.js';
export * from './PooledInstance.js';
export * from './ProvenPlacement.js';
export * from './ServicePool.js';
