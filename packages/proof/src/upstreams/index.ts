export * from './BadAnswerMode.js';
export * from './FakeConnections.js';
export * from './FakeInstance.js';
export * from './FlappingMode.js';
export * from './GrayMode.js';
export * from './SlowMode.js';
export * from './UpstreamRun.js';
