export * from './CachedDocumentCodec.js';
export type * from './DeploymentPlan.js';
export * from './DocumentWriter.js';
