export * from './PlatformStandin.js';
