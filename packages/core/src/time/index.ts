export * from './SystemTimerService.js';
export type * from './TimerOptions.js';
export * from './TimerService.js';
export type * from './TimerSubscription.js';
export * from './VirtualTimerService.js';
