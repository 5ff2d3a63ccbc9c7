import type * as stream from 'node:stream';

import type * as callerExchange from './CallerExchange.js';

/** Open connections of callers, each with its open requests. */
export class CallerSockets {
  private readonly exchangesBySocket = new Map<stream.Duplex, Set<callerExchange.CallerExchange>>();

  /**
   * Adds a new connection; it is removed when it closes.
   * @param socket - Socket of the connection.
   */
  add(socket: stream.Duplex): void {
    this.exchangesBySocket.set(socket, new Set());
    socket.once('close', () => this.exchangesBySocket.delete(socket));
  }

  /**
   * Adds a request to its connection.
   * @param socket - Socket of the connection.
   * @param exchange - Request with its response.
   */
  addExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.add(exchange);
  }

  /**
   * Removes a request from its connection.
   * @param socket - Socket of the connection.
   * @param exchange - Request whose response was sent or aborted.
   */
  removeExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.delete(exchange);
  }

  /**
   * Lists the open requests of a connection: those whose response has not been sent completely.
   * @param socket - Socket of the connection.
   */
  listExchanges(socket: stream.Duplex): readonly callerExchange.CallerExchange[] {
    return [...this.exchangesBySocket.get(socket) ?? []];
  }

  /**
   * Closes the connections on which no complete request waits for its response.
   * @param scope - `unused` closes the connections without an open request, `receiving` also those whose open requests are
   * all still being received.
   */
  closeWithoutCompleteRequest(scope: 'unused' | 'receiving'): void {
    [...this.exchangesBySocket]
      .filter(([, openExchanges]) => [...openExchanges].every((exchange) => scope === 'receiving' && exchange.isReceiving()))
      .forEach(([socket]) => socket.destroy());
  }
}
