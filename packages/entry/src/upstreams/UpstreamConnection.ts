import type * as net from 'node:net';
import * as undici from 'undici';

/** Options of an `UpstreamConnection`. */
export interface UpstreamConnectionOptions {
  /** Origin of the instance, for example `http://10.0.0.1:8080`. */
  readonly origin: string;
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, unless the instance states one. */
  readonly idleTimeoutMs: number;
  /** Bound on the time that the instance states; `idleTimeoutMs` if not given. */
  readonly maxIdleTimeoutMs?: number;
  /** Called when the instance closes the connection while it is idle. */
  readonly onIdleClose: (connection: UpstreamConnection) => void;
}

/** One connection to an instance, which carries at most one request at a time. */
export class UpstreamConnection {
  private readonly client: undici.Client;

  private state: 'idle' | 'busy' | 'closed' = 'idle';

  private socketState: 'ok' | 'failed' = 'ok';

  /** @param options - Origin and times of the connection. */
  constructor(options: UpstreamConnectionOptions) {
    const connect = undici.buildConnector({ timeout: options.connectTimeoutMs });
    this.client = new undici.Client(options.origin, {
      pipelining: 1,
      connect: (target, callback) => connect(target, (...result) => {
        if (result[0] === null) this.watchSocket(result[1]);
        callback(...result);
      }),
      keepAliveTimeout: options.idleTimeoutMs,
      keepAliveMaxTimeout: options.maxIdleTimeoutMs ?? options.idleTimeoutMs,
      // The exchange has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', () => {
      if (this.state === 'idle') options.onIdleClose(this);
    });
  }

  /**
   * Sends one request over the connection.
   * @param request - Request to send.
   * @param handler - Receives the answer.
   */
  dispatch(request: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): void {
    this.state = 'busy';
    this.client.dispatch(request, handler);
  }

  /** Whether the present socket ended with an error. An answer without a length that ends so is not whole. */
  hasFailed(): boolean {
    return this.socketState === 'failed';
  }

  /** Marks the connection as free for the next request. */
  release(): void {
    if (this.state === 'busy') this.state = 'idle';
  }

  /** Closes the connection at once. */
  close(): Promise<void> {
    if (this.state === 'closed') return Promise.resolve();
    this.state = 'closed';
    return this.client.destroy().catch(() => undefined);
  }

  // The client takes a reset as the end of an answer without a length. Its own listener comes after this one.
  private watchSocket(socket: net.Socket): void {
    this.socketState = 'ok';
    socket.on('error', () => {
      this.socketState = 'failed';
    });
    // A reset that comes together with data is reported as an orderly end; only the lost peer address shows it.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.socketState = 'failed';
    });
  }
}
