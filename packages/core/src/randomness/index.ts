export * from './RandomSource.js';
export * from './SeededRandomSource.js';
