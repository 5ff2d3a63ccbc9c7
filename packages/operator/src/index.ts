export * as commands from './commands/index.js';
export * as consoles from './consoles/index.js';
export * as documents from './documents/index.js';
export * as fleet from './fleet/index.js';
export * as logs from './logs/index.js';
export * as pages from './pages/index.js';
export * as settings from './settings/index.js';
