export * from './CallerClient.js';
export type * from './CallerRequest.js';
export * from './IdempotentFlow.js';
export * from './OperationFlow.js';
export * from './OutcomeReader.js';
export * from './RequestFlow.js';
