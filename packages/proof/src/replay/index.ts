export * from './ObservedWorld.js';
export * from './OutcomeJudge.js';
export * from './ReplayCommand.js';
export * from './TraceReplay.js';
export * from './VersionLog.js';
