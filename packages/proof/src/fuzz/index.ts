export * from './ActionArbitrary.js';
export * from './ActionCommand.js';
export * from './FuzzCampaign.js';
export type * from './FuzzModel.js';
export * from './FuzzRun.js';
