import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';
import type * as callerRequest from './CallerRequest.js';
import * as outcomeReader from './OutcomeReader.js';

// The deadline sent to the VM is earlier than the caller's deadline by this fraction of the remaining time,
// up to the maximum, so that the response of the VM still arrives in time.
const RESPONSE_MARGIN_FRACTION = 0.1;
const MAX_RESPONSE_MARGIN_MS = 50;

/** Request to send, and the dependencies of a `RequestFlow`. */
export interface RequestFlowOptions {
  readonly request: callerRequest.CallerRequest;
  readonly member: string;
  readonly memberKey: string;
  readonly addressBook: vms.AddressBook;
  readonly link: links.VmLink;
  readonly timers: core.time.TimerService;
}

/** Answer of the upstream, or the reason why there is none. */
export type FlowResult = neverthrow.Result<callerRequest.CallerAnswer, callerRequest.CallerFailure>;

/** Sends one request to VMs, in several attempts if needed, until its outcome is final or its deadline is reached. */
export abstract class RequestFlow {
  private readonly deadlineAtMs: number;

  /** @param options - Request and dependencies. */
  constructor(protected readonly options: RequestFlowOptions) {
    this.deadlineAtMs = options.timers.getNowMs() + options.request.deadlineMs;
  }

  /** Sends the request and resolves to its result. */
  abstract run(): Promise<FlowResult>;

  /** Gets the time until the deadline, in milliseconds. Negative after the deadline. */
  protected getRemainingMs(): number {
    return this.deadlineAtMs - this.options.timers.getNowMs();
  }

  /** Whether the application cancelled the request. */
  protected isCancelled(): boolean {
    return this.options.request.signal?.aborted === true;
  }

  /** Finds the addresses of the VMs for the service. Undefined if they could not be read before the deadline. */
  protected findAddressSet(): Promise<vms.AddressSet | undefined> {
    const { addressBook, request, timers } = this.options;
    return new Promise((resolve) => {
      const deadlineTimer = timers.subscribe({
        mailbox: { post: () => resolve(undefined) }, message: undefined, delayMs: Math.max(0, this.getRemainingMs()),
      });
      void addressBook.findAddressSet(request.service).then((addressSet) => {
        deadlineTimer.cancel();
        resolve(addressSet);
      });
    });
  }

  /**
   * Sends the request to one VM.
   * @param to - VM to send to.
   * @param operationId - Id of the operation. Undefined for an idempotent request, which needs none.
   */
  protected async sendTo(to: vms.VmAddress, operationId: string | undefined): Promise<outcomeReader.AttemptOutcome> {
    const { request, addressBook, link } = this.options;
    const remainingMs = this.getRemainingMs();
    if (remainingMs <= 0) return { type: 'refused', reason: 'overdue' };
    const marginMs = Math.min(MAX_RESPONSE_MARGIN_MS, remainingMs * RESPONSE_MARGIN_FRACTION);
    const result = await link.send(to, {
      method: request.method,
      path: `/${request.service}${request.path}`,
      headers: [...request.headers ?? [], ...this.listMetadataHeaders(Math.floor(remainingMs - marginMs), operationId)],
      body: request.body,
      timeoutMs: remainingMs,
      signal: request.signal,
    });
    if (result.type !== 'replied' && result.cause === 'unreachable') addressBook.post({ type: 'vm-unreachable', address: to });
    return outcomeReader.OutcomeReader.parse(result);
  }

  /**
   * Waits until the delay is over, the deadline is reached or the request is cancelled, whichever comes first.
   * @param delayMs - Time to wait, in milliseconds.
   */
  protected wait(delayMs: number): Promise<void> {
    const { timers, request } = this.options;
    const limitedDelayMs = Math.min(delayMs, Math.max(0, this.getRemainingMs()));
    const listenerController = new AbortController();
    return new Promise<void>((resolve) => {
      const timer = timers.subscribe({ mailbox: { post: () => resolve() }, message: undefined, delayMs: limitedDelayMs });
      request.signal?.addEventListener('abort', () => {
        timer.cancel();
        resolve();
      }, { signal: listenerController.signal });
    }).finally(() => listenerController.abort());
  }

  private listMetadataHeaders(deadlineMs: number, operationId: string | undefined): readonly (readonly [string, string])[] {
    const { member, memberKey } = this.options;
    return [
      ['tamarack-member', member],
      ['tamarack-deadline-ms', String(deadlineMs)],
      ...memberKey === '' ? [] : [['tamarack-member-key', memberKey] as const],
      ...operationId === undefined ? [] : [['tamarack-operation-id', operationId] as const],
    ];
  }
}
