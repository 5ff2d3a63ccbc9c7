import type * as core from '@tamarackferry/core';
import * as undici from 'undici';

import type * as vms from '../vms/index.js';

/** Why a request to a VM has no complete response. */
export type VmFailureCause = 'unreachable' | 'overdue' | 'cancelled';

/** Request to one VM. */
export interface VmRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array | undefined;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

/** Result of one request to a VM. */
export type VmRequestResult =
  | { readonly type: 'replied'; readonly status: number; readonly headers: ReadonlyMap<string, string>; readonly body: Buffer }
  /** No byte of the request was written to a connection, so the VM did not receive it. */
  | { readonly type: 'refused'; readonly cause: VmFailureCause }
  /** Bytes of the request may have been written, but no complete response was received. */
  | { readonly type: 'broken'; readonly cause: VmFailureCause };

/** Options of a `VmExchange`. */
export interface VmExchangeOptions {
  readonly to: vms.VmAddress;
  readonly request: VmRequest;
  readonly timers: core.time.TimerService;
  /** Called once, when the exchange ends. */
  readonly onEnd: (result: VmRequestResult) => void;
}

/** Sends one HTTP request to a VM and collects the response. */
export class VmExchange {
  private controller: undici.Dispatcher.DispatchController | undefined;

  private state: 'open' | 'ended' = 'open';

  private status = 0;

  private readonly headers = new Map<string, string>();

  private readonly chunks: Buffer[] = [];

  private timeoutTimer: core.time.TimerSubscription | undefined;

  private readonly handleAbort = (): void => this.cancel('cancelled');

  /** @param options - Request, address of the VM, and the callback for the result. */
  constructor(private readonly options: VmExchangeOptions) {}

  /**
   * Sends the request.
   * @param agent - HTTP agent that owns the connections to VMs.
   */
  send(agent: undici.Agent): void {
    const { to, request, timers } = this.options;
    if (request.signal?.aborted === true) {
      this.cancel('cancelled');
      return;
    }
    request.signal?.addEventListener('abort', this.handleAbort);
    this.timeoutTimer = timers.subscribe({ mailbox: { post: () => this.cancel('overdue') }, message: undefined, delayMs: request.timeoutMs });
    agent.dispatch({
      origin: `http://${to.host.includes(':') ? `[${to.host}]` : to.host}:${to.port}`,
      method: request.method as undici.Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers.flatMap(([name, value]) => [name, value]),
      body: request.body === undefined ? null : Buffer.from(request.body),
    }, {
      onRequestStart: (controller) => this.handleStart(controller),
      onResponseStart: (_, status, fields) => {
        this.status = status;
        Object.entries(fields).forEach(([name, value]) => this.headers.set(name, Array.isArray(value) ? value.join(', ') : value ?? ''));
      },
      onResponseData: (_, chunk) => {
        this.chunks.push(chunk);
      },
      onResponseEnd: () => this.end({
        type: 'replied', status: this.status, headers: this.headers, body: Buffer.concat(this.chunks),
      }),
      onResponseError: () => this.end({ type: this.controller === undefined ? 'refused' : 'broken', cause: 'unreachable' }),
    });
  }

  private handleStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.state === 'open' && this.controller === undefined) {
      this.controller = controller;
      return;
    }
    // Either the exchange ended (time-out or cancelled) while it waited for a connection, or undici retries the request on its own.
    // In both cases the request must not be sent.
    controller.abort(new undici.errors.RequestAbortedError());
    this.end({ type: 'broken', cause: 'unreachable' });
  }

  private cancel(cause: VmFailureCause): void {
    const { controller } = this;
    this.end({ type: controller === undefined ? 'refused' : 'broken', cause });
    controller?.abort(new undici.errors.RequestAbortedError());
  }

  private end(result: VmRequestResult): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.timeoutTimer?.cancel();
    this.options.request.signal?.removeEventListener('abort', this.handleAbort);
    this.options.onEnd(result);
  }
}
