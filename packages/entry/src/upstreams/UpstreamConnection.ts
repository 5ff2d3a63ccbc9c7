import type * as net from 'node:net';
import * as undici from 'undici';

/** Options of an `UpstreamConnection`. */
export interface UpstreamConnectionOptions {
  /** Origin of the instance, for example `http://10.0.0.1:8080`. */
  readonly origin: string;
  readonly connectTimeoutMs: number;
  /** Time after which an idle connection is closed, unless the instance sends its own in a `keep-alive` header. */
  readonly idleTimeoutMs: number;
  /** Maximum idle time-out that is accepted from the instance; `idleTimeoutMs` if not given. */
  readonly maxIdleTimeoutMs?: number;
  /** Called when the instance closes the connection while it is idle. */
  readonly onIdleClose: (connection: UpstreamConnection) => void;
}

/** One connection to an instance. It carries at most one request at a time. */
export class UpstreamConnection {
  private readonly client: undici.Client;

  private state: 'idle' | 'busy' | 'closed' = 'idle';

  private socket: net.Socket | undefined;

  // Bytes that were read before the request in progress.
  private earlierBytes = 0;

  private onRead: (bytes: number) => void = () => undefined;

  // `failed`: the current socket ended with an error.
  private socketState: 'ok' | 'failed' = 'ok';

  /** @param options - Origin of the instance and time-outs of the connection. */
  constructor(options: UpstreamConnectionOptions) {
    const connect = undici.buildConnector({ timeout: options.connectTimeoutMs });
    this.client = new undici.Client(options.origin, {
      pipelining: 1,
      connect: (target, callback) => connect(target, (...result) => {
        if (result[0] === null) this.watchSocket(result[1]);
        callback(...result);
        // After the listener of undici, so that what has been read is parsed.
        if (result[0] === null) this.countReads(result[1]);
      }),
      keepAliveTimeout: options.idleTimeoutMs,
      keepAliveMaxTimeout: options.maxIdleTimeoutMs ?? options.idleTimeoutMs,
      // No time-outs of undici: each `Exchange` has its own.
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
   * @param handler - Receives the response.
   * @param onRead - Called with the number of bytes that were read so far, of the response and all that surrounds it.
   */
  dispatch(
    request: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
    onRead: (bytes: number) => void = () => undefined,
  ): void {
    this.state = 'busy';
    this.earlierBytes = this.socket?.bytesRead ?? 0;
    this.onRead = onRead;
    this.client.dispatch(request, handler);
  }

  /** Whether the current socket ended with an error. A response without a length is truncated if its socket ends so. */
  hasFailed(): boolean {
    return this.socketState === 'failed';
  }

  /** Marks the connection as free for the next request. */
  release(): void {
    if (this.state === 'busy') this.state = 'idle';
  }

  /** Closes the connection immediately and aborts a request in flight. */
  close(): Promise<void> {
    if (this.state === 'closed') return Promise.resolve();
    this.state = 'closed';
    return this.client.destroy().catch(() => undefined);
  }

  private countReads(socket: net.Socket): void {
    this.socket = socket;
    this.earlierBytes = 0;
    socket.on('readable', () => {
      if (this.state === 'busy' && this.socket === socket) this.onRead(socket.bytesRead - this.earlierBytes);
    });
  }

  // undici treats a connection reset as the end of a response without a length. This listener is added before that of undici, so the state
  // is already set when undici reports the end of the response.
  private watchSocket(socket: net.Socket): void {
    this.socketState = 'ok';
    socket.on('error', () => {
      this.socketState = 'failed';
    });
    // If a reset is received together with data, Node.js emits `end` and no `error`. The missing remote address shows the reset.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.socketState = 'failed';
    });
  }
}
