import * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import type * as platformFailure from './PlatformFailure.js';
import type * as platformSource from './PlatformSource.js';

const POLL_PERIOD_MS = 30_000;
const LONG_POLL_WAIT_MS = 30_000;
// Bounds the call rate of a watch on a value that changes without a pause.
const LONG_POLL_PAUSE_MS = 100;
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 30_000;

/** Whether a value is watched by long polls or read periodically. */
export type PlatformMode = 'watch' | 'poll';

/** Message to a `PlatformReader`. */
export type PlatformReaderMessage<Content> =
  | { readonly type: 'read-due' }
  | { readonly type: 'mode'; readonly mode: PlatformMode }
  | {
    readonly type: 'read-ended';
    readonly result: neverthrow.Result<platformSource.PlatformValue<Content>, platformFailure.PlatformFailure>;
  };

/** Options of a `PlatformReader`. */
export interface PlatformReaderOptions<Content> {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  /** Reads the value. */
  readonly read: (options: platformSource.PlatformReadOptions) => platformSource.PlatformRead<Content>;
  /** Receives each changed value. */
  readonly onContent: (content: Content) => void;
  /** Called for each failed read. */
  readonly onFailure: (failure: platformFailure.PlatformFailure) => void;
}

/** Owns the reads of one value of the platform. At most one read is in progress. */
export class PlatformReader<Content> extends core.tasks.Task<PlatformReaderMessage<Content>> {
  private mode: PlatformMode = 'poll';

  private stateToken: string | undefined;

  private backoffMs = 0;

  private timer: core.time.TimerSubscription | undefined;

  private activeRead: AbortController | undefined;

  private lifecycle: 'running' | 'stopped' = 'running';

  /** @param options - Value to read and receivers. */
  constructor(private readonly options: PlatformReaderOptions<Content>) {
    super(options.scheduler);
  }

  /** Reads for the first time. */
  start(): void {
    this.post({ type: 'read-due' });
  }

  /** Ends reading. */
  stop(): void {
    this.lifecycle = 'stopped';
    this.timer?.cancel();
    this.activeRead?.abort();
  }

  /** @internal */
  override handle(message: PlatformReaderMessage<Content>): void {
    if (this.lifecycle === 'stopped') return;
    switch (message.type) {
      case 'read-due':
        this.beginRead();
        break;
      case 'mode':
        this.setMode(message.mode);
        break;
      case 'read-ended':
        this.endRead(message.result);
        break;
      // no default
    }
  }

  private setMode(mode: PlatformMode): void {
    if (mode === this.mode) return;
    this.mode = mode;
    // A long poll in progress ends by itself; a poll that is due later would delay the watch.
    if (mode === 'watch' && this.activeRead === undefined) this.schedule(0);
  }

  private beginRead(): void {
    if (this.activeRead !== undefined) return;
    const abort = new AbortController();
    this.activeRead = abort;
    const after = this.mode === 'watch' ? this.stateToken : undefined;
    void this.options.read({ after, waitMs: after === undefined ? 0 : LONG_POLL_WAIT_MS, signal: abort.signal })
      .then((result) => this.post({ type: 'read-ended', result }));
  }

  private endRead(result: neverthrow.Result<platformSource.PlatformValue<Content>, platformFailure.PlatformFailure>): void {
    this.activeRead = undefined;
    result.match(
      (value) => {
        this.backoffMs = 0;
        this.stateToken = value.stateToken;
        // Without a state the platform offers no watch.
        if (this.mode === 'watch' && value.stateToken !== undefined) this.schedule(LONG_POLL_PAUSE_MS);
        else this.schedule(this.computeJitteredDelayMs(POLL_PERIOD_MS));
        if (value.content !== undefined) this.options.onContent(value.content);
      },
      (failure) => {
        // The next read gives the whole value, which shows the VM that the platform can be read again.
        this.stateToken = undefined;
        this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2));
        this.schedule(this.computeJitteredDelayMs(this.backoffMs));
        this.options.onFailure(failure);
      },
    );
  }

  // Spreads the reads of VMs that started together.
  private computeJitteredDelayMs(timeMs: number): number {
    return timeMs * (0.75 + this.options.random.drawFraction() / 2);
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.timers.subscribe({ mailbox: this, message: { type: 'read-due' }, delayMs });
  }
}
