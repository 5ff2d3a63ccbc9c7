export * from './FrontingSet.js';
export type * from './Place.js';
export * from './PlaceSpread.js';
export * from './RendezvousHash.js';
