export * from './PlatformWatcher.js';
