export type * from './Place.js';
