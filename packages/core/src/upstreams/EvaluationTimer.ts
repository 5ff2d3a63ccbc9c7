import type * as tasks from '../tasks/index.js';
import type * as time from '../time/index.js';

const PERIOD_MS = 250;

// Evidence of a period that ends later than this may be caused by a pause of this VM.
const LATE_LIMIT_MS = 200;

/** Timer of the evaluations of one service. It runs only while there is work or doubt, so that idle services cost nothing. */
export class EvaluationTimer {
  private subscription: time.TimerSubscription | undefined;

  private dueMs = 0;

  private lastEvaluationAtMs: number;

  private state: 'open' | 'closed' = 'open';

  /**
   * @param timers - Timer service.
   * @param mailbox - Receiver of the ticks.
   */
  constructor(private readonly timers: time.TimerService, private readonly mailbox: tasks.Mailbox<{ readonly type: 'tick' }>) {
    this.lastEvaluationAtMs = timers.getNowMs();
  }

  /**
   * Starts the timer unless it runs.
   * @param nowMs - Current time, in milliseconds.
   */
  start(nowMs: number): void {
    if (this.subscription !== undefined || this.state === 'closed') return;
    this.dueMs = nowMs + PERIOD_MS;
    this.subscription = this.timers.subscribe({ mailbox: this.mailbox, message: { type: 'tick' }, delayMs: PERIOD_MS });
  }

  /**
   * Ends a period when the timer fired.
   * @param nowMs - Current time, in milliseconds.
   * @returns Time since the last period ended, and whether the timer fired late.
   */
  finish(nowMs: number): { readonly elapsedMs: number; readonly timeliness: 'on-time' | 'late' } {
    const elapsedMs = nowMs - this.lastEvaluationAtMs;
    this.subscription = undefined;
    this.lastEvaluationAtMs = nowMs;
    return { elapsedMs, timeliness: nowMs - this.dueMs > LATE_LIMIT_MS ? 'late' : 'on-time' };
  }

  /** Closes the timer for good. */
  close(): void {
    this.state = 'closed';
    this.subscription?.cancel();
  }
}
