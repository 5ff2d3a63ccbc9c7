import * as http from 'node:http';
import type * as net from 'node:net';
import * as neverthrow from 'neverthrow';

import * as connectionTable from '../callers/ConnectionTable.js';

// Time to receive a complete head, and the interval at which it is checked.
const HEAD_TIMEOUT_MS = 3_000;
const CHECK_INTERVAL_MS = 1_000;

// Clients of these servers send only a few requests on a connection.
const IDLE_TIMEOUT_MS = 10_000;

/** Options of an `AuxiliaryListener`. */
export interface AuxiliaryListenerOptions {
  readonly host: string;
  readonly port: number;
  /** Greatest number of connections; one without a request in progress is closed when there are more. Not limited if missing. */
  readonly maxConnections?: number;
}

/** Base class of the HTTP servers of a VM other than the one for requests of callers, such as readiness and metrics. */
export abstract class AuxiliaryListener {
  private readonly server: http.Server;

  private readonly connections: connectionTable.ConnectionTable;

  /** @param options - Options of the listener. */
  constructor(private readonly options: AuxiliaryListenerOptions) {
    this.server = http.createServer({
      keepAliveTimeout: IDLE_TIMEOUT_MS, headersTimeout: HEAD_TIMEOUT_MS, connectionsCheckingInterval: CHECK_INTERVAL_MS, noDelay: true,
    }, (request, response) => {
      this.connections.beginRequest(request.socket);
      response.once('close', () => this.connections.endRequest(request.socket));
      response.sendDate = false;
      // The body is not used, but has to be read so that the connection can carry the next request.
      request.resume();
      this.handleRequest(request, response);
    });
    this.connections = new connectionTable.ConnectionTable({ connections: options.maxConnections ?? Infinity, headBytes: Infinity });
    this.server.on('connection', (socket) => this.trackSocket(socket));
  }

  /** Starts listening. Resolves to the bound port or to the error code. */
  listen(): Promise<neverthrow.Result<number, string>> {
    return new Promise((resolve) => {
      this.server.once('error', (error: NodeJS.ErrnoException) => resolve(neverthrow.err(error.code ?? error.message)));
      this.server.listen(this.options.port, this.options.host, () => {
        resolve(neverthrow.ok((this.server.address() as net.AddressInfo).port));
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Handles one request.
   * @param request - Received request.
   * @param response - Response to write.
   */
  protected abstract handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void;

  private trackSocket(socket: net.Socket): void {
    this.connections.add(socket);
    socket.once('close', () => this.connections.remove(socket));
    if (!this.connections.isFull()) return;
    const closed = this.connections.findLeastUseful(socket) ?? socket;
    this.connections.remove(closed);
    closed.destroy();
  }
}
