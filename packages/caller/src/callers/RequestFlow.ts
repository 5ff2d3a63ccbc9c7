import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';
import type * as callerRequest from './CallerRequest.js';
import * as outcomeReader from './OutcomeReader.js';

// Time that is kept for the answer of the VM to arrive before the caller's own deadline.
const RESPONSE_MARGIN_FRACTION = 0.1;
const MAX_RESPONSE_MARGIN_MS = 50;

/** Surroundings of a request. */
export interface RequestFlowOptions {
  readonly request: callerRequest.CallerRequest;
  readonly member: string;
  readonly memberKey: string;
  readonly book: vms.AddressBook;
  readonly link: links.VmLink;
  readonly timers: core.time.TimerService;
}

/** Result of a request. */
export type FlowResult = neverthrow.Result<callerRequest.CallerAnswer, callerRequest.CallerFailure>;

/** Tries of one request at VMs until its outcome is final or its deadline is reached. */
export abstract class RequestFlow {
  private readonly deadlineAtMs: number;

  /** @param options - Request and surroundings. */
  constructor(protected readonly options: RequestFlowOptions) {
    this.deadlineAtMs = options.timers.getNowMs() + options.request.deadlineMs;
  }

  /** Runs the request. */
  abstract run(): Promise<FlowResult>;

  /** Gets the time that is left. */
  protected getRemainingMs(): number {
    return this.deadlineAtMs - this.options.timers.getNowMs();
  }

  /** Whether the application cancelled the request. */
  protected isCancelled(): boolean {
    return this.options.request.signal?.aborted === true;
  }

  /** Finds the VMs of the service. Undefined if none is known before the deadline. */
  protected findAddressSet(): Promise<vms.AddressSet | undefined> {
    const { book, request, timers } = this.options;
    return new Promise((resolve) => {
      const overdue = timers.subscribe({
        mailbox: { post: () => resolve(undefined) }, message: undefined, delayMs: Math.max(0, this.getRemainingMs()),
      });
      void book.findAddressSet(request.service).then((set) => {
        overdue.cancel();
        resolve(set);
      });
    });
  }

  /**
   * Sends the request to one VM.
   * @param to - VM to send to.
   * @param operationId - Operation id, or undefined.
   */
  protected async sendTo(to: vms.VmAddress, operationId: string | undefined): Promise<outcomeReader.AttemptOutcome> {
    const { request, book, link } = this.options;
    const leftMs = this.getRemainingMs();
    if (leftMs <= 0) return { type: 'refused', reason: 'overdue' };
    const marginMs = Math.min(MAX_RESPONSE_MARGIN_MS, leftMs * RESPONSE_MARGIN_FRACTION);
    const reply = await link.send(to, {
      method: request.method,
      path: `/${request.service}${request.path}`,
      headers: [...request.headers ?? [], ...this.listMetadataHeaders(Math.floor(leftMs - marginMs), operationId)],
      body: request.body,
      timeoutMs: leftMs,
      signal: request.signal,
    });
    if (reply.type !== 'replied' && reply.cause === 'unreachable') book.post({ type: 'vm-unreachable', address: to });
    return outcomeReader.OutcomeReader.parse(reply);
  }

  /**
   * Waits, unless the request is cancelled meanwhile or the deadline is reached first.
   * @param delayMs - Time to wait.
   */
  protected wait(delayMs: number): Promise<void> {
    const { timers, request } = this.options;
    const limitedMs = Math.min(delayMs, Math.max(0, this.getRemainingMs()));
    const waiting = new AbortController();
    return new Promise<void>((resolve) => {
      const timer = timers.subscribe({ mailbox: { post: () => resolve() }, message: undefined, delayMs: limitedMs });
      request.signal?.addEventListener('abort', () => {
        timer.cancel();
        resolve();
      }, { signal: waiting.signal });
    }).finally(() => waiting.abort());
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
