export * from './DetectionMeter.js';
export * from './EjectionMeter.js';
export * from './ServiceMeter.js';
