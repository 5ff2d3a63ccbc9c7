import * as upstreamConnection from './UpstreamConnection.js';

/** Options of a `ConnectionPool`. */
export interface ConnectionPoolOptions {
  /** Origin of the instance. */
  readonly origin: string;
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, unless the instance states one. */
  readonly idleTimeoutMs: number;
  /** Bound on the time that the instance states; `idleTimeoutMs` if not given. */
  readonly maxIdleTimeoutMs?: number;
}

/** Connections of this VM to one instance. */
export class ConnectionPool {
  private readonly connections = new Set<upstreamConnection.UpstreamConnection>();

  // The most recently used connection is reused first, so that surplus ones reach their idle time-out.
  private readonly idleConnections: upstreamConnection.UpstreamConnection[] = [];

  /** @param options - Instance that the pool connects to. */
  constructor(private readonly options: ConnectionPoolOptions) {}

  /** Counts the open connections. */
  countConnections(): number {
    return this.connections.size;
  }

  /**
   * Takes an idle connection or opens one. Undefined if the limit is reached.
   * @param limit - Greatest number of connections to the instance.
   */
  acquire(limit: number): upstreamConnection.UpstreamConnection | undefined {
    const reused = this.idleConnections.pop();
    if (reused !== undefined) return reused;
    if (this.connections.size >= limit) return undefined;
    const opened = new upstreamConnection.UpstreamConnection({ ...this.options, onIdleClose: (connection) => this.remove(connection) });
    this.connections.add(opened);
    return opened;
  }

  /**
   * Gives a connection back.
   * @param connection - Connection that `acquire` gave.
   * @param condition - `unusable` closes the connection, since a late answer may still arrive on it.
   */
  release(connection: upstreamConnection.UpstreamConnection, condition: 'reusable' | 'unusable'): void {
    if (condition === 'unusable' || !this.connections.has(connection)) {
      this.remove(connection);
      return;
    }
    connection.release();
    this.idleConnections.push(connection);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const open = [...this.connections];
    this.connections.clear();
    this.idleConnections.length = 0;
    await Promise.all(open.map((connection) => connection.close()));
  }

  private remove(connection: upstreamConnection.UpstreamConnection): void {
    this.connections.delete(connection);
    const position = this.idleConnections.indexOf(connection);
    if (position >= 0) this.idleConnections.splice(position, 1);
    void connection.close();
  }
}
