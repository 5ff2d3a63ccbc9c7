import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as standalone from '@trpc/server/adapters/standalone';
import * as neverthrow from 'neverthrow';

import * as peerCodec from './PeerCodec.js';
import * as peerRouter from './PeerRouter.js';

// Large enough for a configuration document, or for a base64-encoded response of the maximum buffered size, plus other envelopes of the
// same delivery.
const MAX_DELIVERY_BYTES = 16 * 1024 * 1024;
const HEADER_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
// Peers send messages about every second. The idle time-out is longer, so that their connections are reused.
const IDLE_TIMEOUT_MS = 30_000;

/** Message to the `PeerServer` task. */
export type PeerServerMessage =
  | { readonly type: 'delivery-received'; readonly encodedEnvelopes: readonly unknown[] }
  | { readonly type: 'delivery-invalid'; readonly detail: string };

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  /** Mailbox of the VM task, which receives the envelopes and reports of invalid deliveries. */
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

/** Owns the HTTP server that receives envelopes from peers, which are other VMs. */
export class PeerServer extends core.tasks.Task<PeerServerMessage> {
  private readonly server: http.Server;

  /** @param options - Address to listen on, scheduler, and the mailbox that receives the envelopes. */
  constructor(private readonly options: PeerServerOptions) {
    super(options.scheduler);
    const handler = standalone.createHTTPHandler({
      router: peerRouter.buildPeerRouter((encodedEnvelopes) => this.post({ type: 'delivery-received', encodedEnvelopes })),
      maxBodySize: MAX_DELIVERY_BYTES,
      onError: ({ error }) => this.post({ type: 'delivery-invalid', detail: error.message }),
    });
    this.server = http.createServer({
      headersTimeout: HEADER_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: IDLE_TIMEOUT_MS,
    }, (request, response) => {
      // Reduces the traffic between peers, which use neither the `date` header nor the `keep-alive` header. Node.js adds no `keep-alive`
      // header if `connection` is set explicitly.
      response.sendDate = false;
      response.setHeader('connection', 'keep-alive');
      handler(request, response);
    });
    this.server.on('clientError', (error, socket) => {
      this.post({ type: 'delivery-invalid', detail: error.message });
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

  /** Stops listening and closes all connections, including those with requests in progress. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** @internal */
  override handle(message: PeerServerMessage): void {
    if (message.type === 'delivery-received') message.encodedEnvelopes.forEach((encoded) => this.receiveEnvelope(encoded));
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
