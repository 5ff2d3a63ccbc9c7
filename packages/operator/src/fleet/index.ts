export * from './FleetReader.js';
