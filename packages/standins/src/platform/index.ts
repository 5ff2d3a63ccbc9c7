export * from './CallMeter.js';
export * from './PlatformMode.js';
export * from './PlatformStandin.js';
export * from './PublishedValue.js';
