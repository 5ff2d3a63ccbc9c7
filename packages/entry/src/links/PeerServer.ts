import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as standalone from '@trpc/server/adapters/standalone';
import * as neverthrow from 'neverthrow';

import * as peerCodec from './PeerCodec.js';
import * as peerRouter from './PeerRouter.js';

// Large enough for a document or for an answer of the buffer limit in base64, together with other envelopes.
const MAX_DELIVERY_BYTES = 16 * 1024 * 1024;
const HEADER_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
// Peers send messages about every second. A longer idle time-out keeps their connections open in between.
const IDLE_TIMEOUT_MS = 30_000;

/** Message to the `PeerServer` task. */
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

  /** @param options - Address to listen on, scheduler and the VM that receives the messages. */
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
      // Peers use neither the `date` header nor the idle time-out in the `keep-alive` header. Omitting both reduces control traffic.
      response.sendDate = false;
      response.setHeader('connection', 'keep-alive');
      handler(request, response);
    });
    this.server.on('clientError', (error, socket) => {
      this.post({ type: 'unreadable', detail: error.message });
      socket.destroy();
    });
  }

  /** Starts to listen. Resolves to the port in use, or to the error code if listening fails. */
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
    else this.reportInvalidDelivery(message.detail);
  }

  private receiveEnvelope(encoded: unknown): void {
    peerCodec.PeerCodec.decode(encoded).match(
      (envelope) => this.options.vm.post({ type: 'peer-envelope', envelope }),
      (detail) => this.reportInvalidDelivery(detail),
    );
  }

  private reportInvalidDelivery(detail: string): void {
    this.options.vm.post({ type: 'peer-invalid', detail });
  }
}
