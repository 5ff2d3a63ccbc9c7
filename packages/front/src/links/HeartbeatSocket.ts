import * as dgram from 'node:dgram';
import * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as neverthrow from 'neverthrow';

import * as evidenceCodec from './EvidenceCodec.js';
import * as heartbeatSchema from './HeartbeatSchema.js';
import * as quotaCodec from './QuotaCodec.js';

/** Message to the `HeartbeatSocket`. */
export type HeartbeatSocketMessage =
  | Exclude<gateway.vms.MembershipOutput, { readonly type: 'listing-changed' }>
  | { readonly type: 'datagram'; readonly data: Buffer };

/** Options of a `HeartbeatSocket`. */
export interface HeartbeatSocketOptions {
  readonly host: string;
  /** Port on which all VMs receive heartbeats. */
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  /** Task that receives the heartbeats. */
  readonly membershipTask: core.tasks.Mailbox<gateway.vms.MembershipMessage>;
  /** Task that receives the health observations of other VMs. */
  readonly requestTask: core.tasks.Mailbox<gateway.callers.RoutedRequestMessage>;
  /** Called for each event to be logged and counted. */
  readonly onEvent: (event: string, fields: gateway.callers.LogFields) => void;
}

/** Owns the UDP socket on which VMs exchange heartbeats and health observations about instances. */
export class HeartbeatSocket extends core.tasks.Task<HeartbeatSocketMessage> {
  private readonly socket = dgram.createSocket('udp4');

  /** @param options - Options of the socket. */
  constructor(private readonly options: HeartbeatSocketOptions) {
    super(options.scheduler);
    this.socket.on('message', (data) => this.post({ type: 'datagram', data }));
  }

  /** Binds the socket. Resolves to the bound port or to the error code. */
  listen(): Promise<neverthrow.Result<number, string>> {
    return new Promise((resolve) => {
      this.socket.once('error', (error: NodeJS.ErrnoException) => resolve(neverthrow.err(error.code ?? error.message)));
      this.socket.bind(this.options.port, this.options.host, () => {
        this.socket.on('error', (error) => this.options.onEvent('heartbeat-failed', { detail: error.message }));
        resolve(neverthrow.ok(this.socket.address().port));
      });
    });
  }

  /** Closes the socket. */
  close(): void {
    this.socket.close();
  }

  /** @internal */
  override handle(message: HeartbeatSocketMessage): void {
    switch (message.type) {
      case 'send-heartbeat':
        this.sendTo(message.hosts, message.heartbeat);
        break;
      case 'send-evidence':
        this.sendTo(message.hosts, evidenceCodec.EvidenceCodec.encode(message.notice));
        break;
      case 'send-quota-usage':
        this.sendTo(message.hosts, quotaCodec.QuotaCodec.encode(message.notice));
        break;
      case 'datagram':
        this.receive(message.data);
        break;
      // no default
    }
  }

  private receive(data: Buffer): void {
    const parsed = neverthrow.fromThrowable((text: string): unknown => JSON.parse(text), () => 'not JSON' as const)(data.toString('utf8'));
    const value = parsed.unwrapOr(undefined);
    const heartbeat = heartbeatSchema.HEARTBEAT_SCHEMA.safeParse(value);
    if (heartbeat.success) {
      this.options.membershipTask.post({ type: 'heartbeat-received', heartbeat: heartbeat.data });
      return;
    }
    const evidence = evidenceCodec.EvidenceCodec.decode(value);
    if (evidence !== undefined) {
      this.options.requestTask.post({ type: 'peer-evidence', ...evidence });
      return;
    }
    const notice = quotaCodec.QuotaCodec.decode(value);
    if (notice !== undefined) this.options.requestTask.post({ type: 'peer-usage', notice });
    else this.options.onEvent('datagram-unreadable', { bytes: data.length, field: heartbeat.error.issues[0]?.path.join('.') });
  }

  private sendTo(hosts: readonly string[], content: object): void {
    const data = Buffer.from(JSON.stringify(content));
    // Failed sends are logged but not retried: heartbeats and notices are sent periodically, so that the next one replaces it.
    hosts.forEach((host) => this.socket.send(data, this.options.port, host, (error) => {
      if (error !== null) this.options.onEvent('datagram-unsent', { host, detail: error.message });
    }));
  }
}
