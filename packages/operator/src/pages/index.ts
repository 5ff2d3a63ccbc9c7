export * from './DocumentPage.js';
export * from './EvidencePage.js';
export * from './FleetPage.js';
export * from './Html.js';
