export * from './ConsoleSettings.js';
