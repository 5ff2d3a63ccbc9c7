export * from './FakePlatform.js';
