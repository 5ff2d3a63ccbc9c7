export * from './UpstreamStandin.js';
