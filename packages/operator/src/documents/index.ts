export * from './DocumentChanges.js';
export * from './DocumentDraft.js';
export type * from './DraftField.js';
export * from './draftSections.js';
export * from './PublishedDocumentReader.js';
