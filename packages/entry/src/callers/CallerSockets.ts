import type * as stream from 'node:stream';

import type * as callerExchange from './CallerExchange.js';

/** Open connections of callers with the requests on them. */
export class CallerSockets {
  private readonly exchangesBySocket = new Map<stream.Duplex, Set<callerExchange.CallerExchange>>();

  /**
   * Tracks a new connection until it closes.
   * @param socket - Connection.
   */
  add(socket: stream.Duplex): void {
    this.exchangesBySocket.set(socket, new Set());
    socket.once('close', () => this.exchangesBySocket.delete(socket));
  }

  /**
   * Tracks a request on its connection.
   * @param socket - Connection.
   * @param exchange - Request.
   */
  addExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.add(exchange);
  }

  /**
   * Ends the tracking of a request.
   * @param socket - Connection.
   * @param exchange - Request that was answered or given up.
   */
  removeExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.delete(exchange);
  }

  /**
   * Lists the requests on a connection that are not answered yet.
   * @param socket - Connection.
   */
  listExchanges(socket: stream.Duplex): readonly callerExchange.CallerExchange[] {
    return [...this.exchangesBySocket.get(socket) ?? []];
  }

  /**
   * Closes connections on which no answer is due.
   * @param scope - `unused` closes those without a request, `receiving` also those whose requests have not arrived in full.
   */
  closeWithoutCompleteRequest(scope: 'unused' | 'receiving'): void {
    [...this.exchangesBySocket]
      .filter(([, open]) => [...open].every((exchange) => scope === 'receiving' && exchange.isReceiving()))
      .forEach(([socket]) => socket.destroy());
  }
}
