export * from './SystemTimerService.js';
