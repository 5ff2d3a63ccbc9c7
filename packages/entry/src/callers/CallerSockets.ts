import type * as stream from 'node:stream';

import type * as callerExchange from './CallerExchange.js';

/** Sockets of the open connections of callers, each with its open exchanges. An exchange is a request with its response. */
export class CallerSockets {
  private readonly exchangesBySocket = new Map<stream.Duplex, Set<callerExchange.CallerExchange>>();

  /**
   * Adds the socket of a new connection. It is removed automatically when it closes.
   * @param socket - Socket of the connection.
   */
  add(socket: stream.Duplex): void {
    this.exchangesBySocket.set(socket, new Set());
    socket.once('close', () => this.exchangesBySocket.delete(socket));
  }

  /**
   * Adds an exchange to its connection.
   * @param socket - Socket of the connection.
   * @param exchange - New exchange.
   */
  addExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.add(exchange);
  }

  /**
   * Removes an exchange from its connection.
   * @param socket - Socket of the connection.
   * @param exchange - Exchange whose response was sent or aborted.
   */
  removeExchange(socket: stream.Duplex, exchange: callerExchange.CallerExchange): void {
    this.exchangesBySocket.get(socket)?.delete(exchange);
  }

  /**
   * Lists the open exchanges of a connection: those whose response has not been sent completely.
   * @param socket - Socket of the connection.
   */
  listExchanges(socket: stream.Duplex): readonly callerExchange.CallerExchange[] {
    return [...this.exchangesBySocket.get(socket) ?? []];
  }

  /**
   * Closes the connections without an open exchange and, for `idle-or-receiving`, also those whose open exchanges are all still
   * receiving their request.
   * @param scope - Which connections to close.
   */
  closeIdle(scope: 'idle' | 'idle-or-receiving'): void {
    [...this.exchangesBySocket]
      .filter(([, openExchanges]) => [...openExchanges].every((exchange) => scope === 'idle-or-receiving' && exchange.isReceiving()))
      .forEach(([socket]) => socket.destroy());
  }
}
