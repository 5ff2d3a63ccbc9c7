import * as upstreamConnection from './UpstreamConnection.js';

/** Options of a `ConnectionPool`. */
export interface ConnectionPoolOptions {
  /** Origin of the instance, for example `http://10.0.0.1:8080`. */
  readonly origin: string;
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, unless the instance sends its own in a `keep-alive` header. */
  readonly idleTimeoutMs: number;
  /** Maximum idle time-out that is accepted from the instance; `idleTimeoutMs` if not given. */
  readonly maxIdleTimeoutMs?: number;
}

/** Connections of this VM to one instance. Each carries at most one request at a time. */
export class ConnectionPool {
  private readonly connections = new Set<upstreamConnection.UpstreamConnection>();

  // Used as a stack: the most recently used connection is reused first, so that surplus connections reach their idle time-out.
  private readonly idleConnections: upstreamConnection.UpstreamConnection[] = [];

  /** @param options - Origin of the instance and time-outs of the connections. */
  constructor(private readonly options: ConnectionPoolOptions) {}

  /** Counts all connections, idle and in use. */
  countConnections(): number {
    return this.connections.size;
  }

  /**
   * Returns an idle connection, or else a new one. Returns undefined if no connection is idle and the limit is reached.
   * @param limit - Maximum number of connections to the instance.
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
   * Returns a connection to the pool.
   * @param connection - Connection that `acquire` returned.
   * @param condition - `reusable` keeps the connection open for the next request. `unusable` closes it, since a late response
   * may still be received on it.
   */
  release(connection: upstreamConnection.UpstreamConnection, condition: 'reusable' | 'unusable'): void {
    if (condition === 'unusable' || !this.connections.has(connection)) {
      this.remove(connection);
      return;
    }
    connection.release();
    this.idleConnections.push(connection);
  }

  /** Closes all connections and aborts the requests in flight. */
  async close(): Promise<void> {
    const connections = [...this.connections];
    this.connections.clear();
    this.idleConnections.length = 0;
    await Promise.all(connections.map((connection) => connection.close()));
  }

  private remove(connection: upstreamConnection.UpstreamConnection): void {
    this.connections.delete(connection);
    const index = this.idleConnections.indexOf(connection);
    if (index >= 0) this.idleConnections.splice(index, 1);
    void connection.close();
  }
}
