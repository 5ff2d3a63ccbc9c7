import type * as core from '@tamarackferry/core';

import type * as listenerMessage from '../callers/ListenerMessage.js';
import type * as bufferedResponseReader from './BufferedResponseReader.js';
import * as exchange from './Exchange.js';

/** Options of an `AttemptExchange`. */
export interface AttemptExchangeOptions extends exchange.ExchangeOptions {
  readonly reader: bufferedResponseReader.BufferedResponseReader;
  readonly attempt: Extract<core.vms.VmOutput, { type: 'send-attempt' }>;
  /** Mailbox of the VM task, which decides whether a response that exceeds the buffer is streamed. */
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
  /** Task that owns the callers' connections; receives streamed responses. */
  readonly listener: core.tasks.Mailbox<listenerMessage.ListenerMessage>;
  /** Called once with the result. After `cancelled`, the instance may have run the request unless it confirms the cancellation. */
  readonly onEnd: (result: core.upstreams.AttemptResult) => void;
}

/**
 * Sends one attempt at a caller's request to an instance. A response that exceeds the buffer is streamed to the caller if the VM decides
 * so; any other response is buffered and part of the result.
 */
export class AttemptExchange extends exchange.Exchange {
  // `awaiting-decision`: the response exceeds the buffer, and the VM has not yet decided whether to stream it.
  private deliveryState: 'buffering' | 'awaiting-decision' | 'streaming' = 'buffering';

  /** @param attemptOptions - Attempt, connection pool of the instance and receivers of the response. */
  constructor(private readonly attemptOptions: AttemptExchangeOptions) {
    super(attemptOptions);
  }

  /** Starts to stream a response that exceeds the buffer to the caller. Has no effect in any other state than `awaiting-decision`. */
  startStreaming(): void {
    if (this.deliveryState !== 'awaiting-decision') return;
    this.deliveryState = 'streaming';
    const { attempt, listener } = this.attemptOptions;
    const { status, headers } = this.attemptOptions.reader.buildAnswer();
    const length = this.attemptOptions.reader.getDeclaredLength();
    listener.post({
      type: 'stream-started',
      requestId: attempt.requestId,
      attemptId: attempt.attemptId,
      status,
      headers: length === undefined ? headers : [...headers, ['content-length', length]],
    });
    this.sendBufferedChunks();
  }

  /** Reads the next part of a streamed response, after the caller has received the previous one. */
  resumeStreaming(): void {
    if (this.deliveryState === 'streaming') this.controller?.resume();
  }

  /** Ends a streamed attempt whose caller has closed its connection. */
  cancelStreaming(): void {
    if (this.deliveryState === 'streaming') this.end('truncated');
  }

  protected override handleBodyChunk(chunk: Buffer): void {
    const bufferState = this.attemptOptions.reader.readBodyChunk(chunk);
    if (this.deliveryState === 'streaming') this.sendBufferedChunks();
    else if (this.deliveryState === 'buffering' && bufferState === 'overflowed') this.handleOverflow();
  }

  protected override handleOverflow(): void {
    this.deliveryState = 'awaiting-decision';
    this.controller?.pause();
    const { echo } = this.attemptOptions.reader.getMetadata();
    this.attemptOptions.vm.post({ type: 'attempt-overflowed', attemptId: this.attemptOptions.attempt.attemptId, echo });
  }

  protected override reportEnding(ending: exchange.ExchangeEnding): void {
    const { attempt, listener, onEnd } = this.attemptOptions;
    if (this.deliveryState === 'streaming') {
      listener.post({ type: ending === 'complete' ? 'stream-ended' : 'stream-aborted', requestId: attempt.requestId });
      onEnd({ type: ending === 'complete' ? 'streamed' : 'stream-broken' });
      return;
    }
    onEnd(this.buildResult(ending));
  }

  private buildResult(ending: exchange.ExchangeEnding): core.upstreams.AttemptResult {
    switch (ending) {
      case 'complete':
        return { type: 'answered', answer: this.attemptOptions.reader.buildAnswer(), ...this.attemptOptions.reader.getMetadata() };
      case 'overdue':
        return { type: 'timed-out' };
      case 'cancelled':
        return { type: 'cancelled', confirmation: 'silent' };
      default:
        return { type: ending };
    }
  }

  private sendBufferedChunks(): void {
    this.controller?.pause();
    this.attemptOptions.listener.post({
      type: 'stream-data', requestId: this.attemptOptions.attempt.requestId, data: Buffer.concat(this.attemptOptions.reader.takeChunks()),
    });
  }
}
