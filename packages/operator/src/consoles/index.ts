export * from './ConsoleServer.js';
