import type * as net from 'node:net';

/**
 * Why nothing is read from a connection.
 * - `collection`: memory of bodies that were given up has to be collected first.
 * - `heads`: the unfinished heads of connections with requests in progress take too much memory.
 */
export type PauseReason = 'collection' | 'heads';

/** Connections from which nothing is read for now. A connection is read again when no reason is left. */
export class PausedSockets {
  private readonly reasons = new Map<net.Socket, Set<PauseReason>>();

  /**
   * Stops reading from a connection.
   * @param socket - Socket of the connection.
   * @param reason - Why.
   */
  add(socket: net.Socket, reason: PauseReason): void {
    const known = this.reasons.get(socket);
    if (known === undefined) this.reasons.set(socket, new Set([reason]));
    else known.add(reason);
    socket.pause();
  }

  /**
   * Takes back a reason. The connection is read again if there is no other.
   * @param socket - Socket of the connection.
   * @param reason - Reason that no longer holds.
   */
  release(socket: net.Socket, reason: PauseReason): void {
    const known = this.reasons.get(socket);
    if (known?.delete(reason) !== true || known.size > 0) return;
    this.reasons.delete(socket);
    socket.resume();
  }

  /**
   * Takes back a reason for all connections but some.
   * @param reason - Reason that no longer holds.
   * @param kept - Connections for which it still holds.
   */
  releaseAll(reason: PauseReason, kept: ReadonlySet<net.Socket> = new Set()): void {
    [...this.reasons.keys()].filter((socket) => !kept.has(socket)).forEach((socket) => this.release(socket, reason));
  }

  /**
   * Forgets a connection that has ended.
   * @param socket - Socket of the connection.
   */
  remove(socket: net.Socket): void {
    this.reasons.delete(socket);
  }
}
