export * from './RoutedConnections.js';
export * from './RoutedExchange.js';
export * from './RoutedResponseReader.js';
export * from './UpstreamDialect.js';
