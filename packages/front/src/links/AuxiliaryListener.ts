import * as http from 'node:http';
import type * as net from 'node:net';
import * as neverthrow from 'neverthrow';

// Those who ask keep connections for a few questions only.
const IDLE_TIMEOUT_MS = 10_000;

/** Options of an `AuxiliaryListener`. */
export interface AuxiliaryListenerOptions {
  readonly host: string;
  readonly port: number;
}

/** Owns a small HTTP server that answers questions about this VM. */
export abstract class AuxiliaryListener {
  private readonly server: http.Server;

  /** @param options - Address to listen on. */
  constructor(private readonly options: AuxiliaryListenerOptions) {
    this.server = http.createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS, noDelay: true }, (request, response) => {
      response.sendDate = false;
      // A question has no body that matters; reading it frees the connection for the next one.
      request.resume();
      this.handleRequest(request, response);
    });
  }

  /** Starts listening and resolves to the port that was bound, or to the error code. */
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
   * Answers one question.
   * @param request - Question.
   * @param response - Answer to send.
   */
  protected abstract handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void;
}
