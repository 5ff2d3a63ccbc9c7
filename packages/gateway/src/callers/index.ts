export * from './AdmissionRule.js';
export type * from './GatewayOutput.js';
export * from './RepeatBudget.js';
export type * from './RequestArrival.js';
export * from './RoutedRequest.js';
export type * from './RoutedRequestMessage.js';
export * from './RoutedRequestTask.js';
export * from './ServiceDesk.js';
export * from './WaitQueue.js';
