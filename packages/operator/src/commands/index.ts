export * from './CheckCommand.js';
export * from './Command.js';
export * from './ConsoleCommand.js';
export * from './ExplainCommand.js';
export * from './KeysCommand.js';
export * from './ReplayCommand.js';
export * from './StatusCommand.js';
