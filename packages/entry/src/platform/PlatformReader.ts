import * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import type * as platformFailure from './PlatformFailure.js';
import type * as platformSource from './PlatformSource.js';

const POLL_INTERVAL_MS = 30_000;
// Time for which the platform may wait for a change before it responds to a long poll.
const LONG_POLL_WAIT_MS = 30_000;
// Pause between two long polls; limits the read rate while the value changes continuously.
const LONG_POLL_PAUSE_MS = 100;
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 30_000;

/** Whether a value is read by long polls (`watch`) or periodically (`poll`). */
export type PlatformMode = 'watch' | 'poll';

/** Message to a `PlatformReader`. */
export type PlatformReaderMessage<Content> =
  /** The timer for the next read has expired. */
  | { readonly type: 'read-due' }
  /** Changes whether the value is read by long polls or periodically. */
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
  /** Starts one read of the value. */
  readonly read: (options: platformSource.PlatformReadOptions) => platformSource.PlatformRead<Content>;
  /** Called with the value after each successful read, unless the platform responded that the value is unchanged. */
  readonly onContent: (content: Content) => void;
  /** Called for each failed read. */
  readonly onFailure: (failure: platformFailure.PlatformFailure) => void;
}

/** Owns the reads of one value that the platform publishes. At most one read is in progress. */
export class PlatformReader<Content> extends core.tasks.Task<PlatformReaderMessage<Content>> {
  private mode: PlatformMode = 'poll';

  private stateToken: string | undefined;

  private backoffMs = 0;

  private timer: core.time.TimerSubscription | undefined;

  private activeRead: AbortController | undefined;

  private lifecycle: 'running' | 'stopped' = 'running';

  /** @param options - Function that reads the value, and the functions that receive the results. */
  constructor(private readonly options: PlatformReaderOptions<Content>) {
    super(options.scheduler);
  }

  /** Starts the first read. */
  start(): void {
    this.post({ type: 'read-due' });
  }

  /** Aborts the read in progress and starts no further ones. */
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
    // A read in progress schedules the next read in the new mode; otherwise the scheduled poll would delay the first long poll.
    if (mode === 'watch' && this.activeRead === undefined) this.schedule(0);
  }

  private beginRead(): void {
    if (this.activeRead !== undefined) return;
    const abortController = new AbortController();
    this.activeRead = abortController;
    const previousStateToken = this.mode === 'watch' ? this.stateToken : undefined;
    void this.options.read({
      previousStateToken, waitMs: previousStateToken === undefined ? 0 : LONG_POLL_WAIT_MS, signal: abortController.signal,
    })
      .then((result) => this.post({ type: 'read-ended', result }));
  }

  private endRead(result: neverthrow.Result<platformSource.PlatformValue<Content>, platformFailure.PlatformFailure>): void {
    this.activeRead = undefined;
    result.match(
      (value) => {
        this.backoffMs = 0;
        this.stateToken = value.stateToken;
        // Without a state token the value cannot be read by long polls.
        if (this.mode === 'watch' && value.stateToken !== undefined) this.schedule(LONG_POLL_PAUSE_MS);
        else this.schedule(this.computeJitteredDelayMs(POLL_INTERVAL_MS));
        if (value.content !== undefined) this.options.onContent(value.content);
      },
      (failure) => {
        // Without a state token the next read returns the value even if it is unchanged, so that the VM is notified that the
        // platform can be read again.
        this.stateToken = undefined;
        this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, this.backoffMs * 2));
        this.schedule(this.computeJitteredDelayMs(this.backoffMs));
        this.options.onFailure(failure);
      },
    );
  }

  // Randomizes a delay by up to 25 % in both directions, so that VMs that started together do not read at the same time.
  private computeJitteredDelayMs(delayMs: number): number {
    return delayMs * (0.75 + this.options.random.drawFraction() / 2);
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.timers.subscribe({ mailbox: this, message: { type: 'read-due' }, delayMs });
  }
}
