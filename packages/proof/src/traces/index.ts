export * from './ActionReader.js';
export * from './DirectoryPresetSource.js';
export * from './LineReader.js';
export * from './PlanNames.js';
export * from './PresetSource.js';
export type * from './Trace.js';
export type * from './TraceFailure.js';
export * from './TraceParser.js';
