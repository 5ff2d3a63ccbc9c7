import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as standalone from '@trpc/server/adapters/standalone';
import * as neverthrow from 'neverthrow';

import * as peerCodec from './PeerCodec.js';
import * as peerRouter from './PeerRouter.js';

// Holds a document or an answer of the buffer limit in base64, with room for other envelopes.
const MAX_DELIVERY_BYTES = 16 * 1024 * 1024;
const HEADER_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
// Peers exchange about every second; a longer idle time saves them new connections.
const IDLE_TIMEOUT_MS = 30_000;

/** Message to the `PeerServer`. */
export type PeerServerMessage =
  | { readonly type: 'delivered'; readonly values: readonly unknown[] }
  | { readonly type: 'unreadable'; readonly detail: string };

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

/** Owns the HTTP server that receives messages of other VMs. */
export class PeerServer extends core.tasks.Task<PeerServerMessage> {
  private readonly server: http.Server;

  /** @param options - Address to listen on and the VM that gets the messages. */
  constructor(private readonly options: PeerServerOptions) {
    super(options.scheduler);
    const handler = standalone.createHTTPHandler({
      router: peerRouter.buildPeerRouter((values) => this.post({ type: 'delivered', values })),
      maxBodySize: MAX_DELIVERY_BYTES,
      onError: ({ error }) => this.post({ type: 'unreadable', detail: error.message }),
    });
    this.server = http.createServer({
      headersTimeout: HEADER_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: IDLE_TIMEOUT_MS,
    }, (request, response) => {
      // Peers use neither the date nor the idle time; leaving them out keeps control traffic small.
      response.sendDate = false;
      response.setHeader('connection', 'keep-alive');
      handler(request, response);
    });
    this.server.on('clientError', (error, socket) => {
      this.post({ type: 'unreadable', detail: error.message });
      socket.destroy();
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
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** @internal */
  override handle(message: PeerServerMessage): void {
    if (message.type === 'delivered') message.values.forEach((value) => this.receiveEnvelope(value));
    else this.reportInvalidMessage(message.detail);
  }

  private receiveEnvelope(value: unknown): void {
    peerCodec.PeerCodec.decode(value).match(
      (envelope) => this.options.vm.post({ type: 'peer-envelope', envelope }),
      (detail) => this.reportInvalidMessage(detail),
    );
  }

  private reportInvalidMessage(detail: string): void {
    this.options.vm.post({ type: 'peer-invalid', detail });
  }
}
