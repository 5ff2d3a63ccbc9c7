import * as http from 'node:http';
import type * as net from 'node:net';
import * as neverthrow from 'neverthrow';

// Clients of these servers send only a few requests on a connection.
const IDLE_TIMEOUT_MS = 10_000;

/** Options of an `AuxiliaryListener`. */
export interface AuxiliaryListenerOptions {
  readonly host: string;
  readonly port: number;
}

/** Base class of the HTTP servers of a VM other than the one for requests of callers, such as readiness and metrics. */
export abstract class AuxiliaryListener {
  private readonly server: http.Server;

  /** @param options - Options of the listener. */
  constructor(private readonly options: AuxiliaryListenerOptions) {
    this.server = http.createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS, noDelay: true }, (request, response) => {
      response.sendDate = false;
      // The body is not used, but has to be read so that the connection can carry the next request.
      request.resume();
      this.handleRequest(request, response);
    });
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
}
