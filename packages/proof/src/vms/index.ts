export * from './FakeMachine.js';
