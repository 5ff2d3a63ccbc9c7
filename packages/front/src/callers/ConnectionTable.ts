import type * as net from 'node:net';

import * as callerConnection from './CallerConnection.js';

// Memory that the parser holds for each byte of a head that is not complete, if the fields are as short as possible, and the greatest cost
// of a head: the parser keeps one field for each 16 bytes of the greatest length of a head, 1,024 with 16 KiB.
const HEAD_COST_PER_BYTE = 16;
const MAX_HEAD_COST = 120_000;

/** Limits of a `ConnectionTable`. */
export interface ConnectionLimits {
  /** Greatest number of connections. */
  readonly connections: number;
  /** Greatest memory that heads which are not complete may take together, in bytes. */
  readonly headBytes: number;
}

/** Connections of callers. Finds the connections to close when there are too many, or too many unfinished heads. */
export class ConnectionTable {
  private readonly connections = new Map<net.Socket, callerConnection.CallerConnection>();

  // Connections on which no head was ever complete, the oldest first.
  private readonly fresh = new Set<net.Socket>();

  // Connections whose requests are all answered, the longest idle first.
  private readonly idle = new Set<net.Socket>();

  /** @param limits - Limits on the connections. */
  constructor(private readonly limits: ConnectionLimits) {}

  /** Counts the connections. */
  countConnections(): number {
    return this.connections.size;
  }

  /**
   * Gets a connection.
   * @param socket - Socket of the connection.
   */
  get(socket: net.Socket): callerConnection.CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Adds a new connection.
   * @param socket - Socket of the connection.
   */
  add(socket: net.Socket): callerConnection.CallerConnection {
    const connection = new callerConnection.CallerConnection();
    this.connections.set(socket, connection);
    this.fresh.add(socket);
    return connection;
  }

  /**
   * Removes a connection.
   * @param socket - Socket of the connection.
   */
  remove(socket: net.Socket): void {
    this.connections.delete(socket);
    this.fresh.delete(socket);
    this.idle.delete(socket);
  }

  /**
   * Records that the head of a request is complete.
   * @param socket - Socket of the connection.
   */
  beginRequest(socket: net.Socket): void {
    this.fresh.delete(socket);
    this.idle.delete(socket);
    this.connections.get(socket)?.beginRequest(socket.bytesRead);
  }

  /**
   * Records that a response is written, or never will be.
   * @param socket - Socket of the connection.
   */
  endRequest(socket: net.Socket): void {
    if (this.connections.get(socket)?.endRequest() === 'idle') this.idle.add(socket);
  }

  /** Whether there are more connections than allowed. */
  isFull(): boolean {
    return this.connections.size > this.limits.connections;
  }

  /**
   * Finds the connection without a request that has made the least progress: the oldest without any, or the one that is idle longest.
   * @param newest - Connection that was added last, which is not returned.
   */
  findLeastUseful(newest: net.Socket): net.Socket | undefined {
    const oldest = this.fresh.values().next().value;
    return oldest === undefined || oldest === newest ? this.idle.values().next().value : oldest;
  }

  /** Whether the unfinished heads of all connections could exceed their limit, so that they have to be checked. */
  needsHeadCheck(): boolean {
    return this.connections.size * MAX_HEAD_COST > this.limits.headBytes;
  }

  /**
   * Estimates the memory that the unfinished head of the next request on a connection takes, in bytes.
   * @param connection - Connection.
   * @param readBytes - Number of bytes that were read from it.
   */
  static estimateHeadCost(connection: callerConnection.CallerConnection, readBytes: number): number {
    return ConnectionTable.computeCost(connection.estimateNextHeadBytes(readBytes));
  }

  /**
   * Lists the connections from which no more should be read until their requests are answered: they must not be closed, and the unfinished
   * heads that were read since their latest request was complete exceed the limit. Empty while they do not.
   */
  listHeldBack(): net.Socket[] {
    const busy = [...this.connections].filter(([, connection]) => !connection.isClosable());
    const costs = busy.map(([socket, connection]) => ConnectionTable.computeCost(connection.estimateGrownHeadBytes(socket.bytesRead)));
    return costs.reduce((sum, cost) => sum + cost, 0) > this.limits.headBytes ? busy.map(([socket]) => socket) : [];
  }

  /**
   * Lists the connections to close so that the unfinished heads of the others stay within their limit, those with most bytes first. Those
   * that must not be closed are left out.
   */
  listExcessHeads(): net.Socket[] {
    const heads: { socket: net.Socket; cost: number }[] = [];
    let totalCost = 0;
    this.connections.forEach((connection, socket) => {
      if (!connection.isClosable()) return;
      const cost = ConnectionTable.estimateHeadCost(connection, socket.bytesRead);
      if (cost === 0) return;
      heads.push({ socket, cost });
      totalCost += cost;
    });
    if (totalCost <= this.limits.headBytes) return [];
    return heads.sort((a, b) => b.cost - a.cost).filter(({ cost }) => {
      const isExcess = totalCost > this.limits.headBytes;
      if (isExcess) totalCost -= cost;
      return isExcess;
    }).map(({ socket }) => socket);
  }

  private static computeCost(headBytes: number): number {
    return Math.min(MAX_HEAD_COST, Math.max(0, headBytes) * HEAD_COST_PER_BYTE);
  }
}
