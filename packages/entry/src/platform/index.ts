export * from './HttpPlatformSource.js';
export * from './ListSchema.js';
export type * from './PlatformFailure.js';
export * from './PlatformReader.js';
export * from './PlatformSource.js';
export * from './PlatformWatcher.js';
