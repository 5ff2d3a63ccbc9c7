export * from './EntryProcess.js';
export * from './EntrySettings.js';
export * from './ProcessLog.js';
export type * from './SettingsFailure.js';
export * from './SettingsReader.js';
export * from './SettingsSchema.js';
