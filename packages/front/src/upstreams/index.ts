export * from './RoutedConnections.js';
export * from './RoutedExchange.js';
export * from './RoutedReplyReader.js';
export * from './UpstreamDialect.js';
