export * from './CatalogReader.js';
export * from './CatalogSource.js';
