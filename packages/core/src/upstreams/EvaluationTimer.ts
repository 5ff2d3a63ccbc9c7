import type * as tasks from '../tasks/index.js';
import type * as time from '../time/index.js';

const PERIOD_MS = 250;

// If the timer fires later than this, failures observed in the period may be caused by a pause of this VM.
const LATE_LIMIT_MS = 200;

/** Timer for the periodic evaluation of one service. It runs only while there are attempts or instances to evaluate. */
export class EvaluationTimer {
  private subscription: time.TimerSubscription | undefined;

  private dueMs = 0;

  private lastEvaluationAtMs: number;

  private state: 'open' | 'closed' = 'open';

  /**
   * @param timers - Timer service.
   * @param mailbox - Mailbox that receives a `tick` at the end of each period.
   */
  constructor(private readonly timers: time.TimerService, private readonly mailbox: tasks.Mailbox<{ readonly type: 'tick' }>) {
    this.lastEvaluationAtMs = timers.getNowMs();
  }

  /**
   * Starts the timer for one period unless it is running or closed.
   * @param nowMs - Current time, in milliseconds.
   */
  start(nowMs: number): void {
    if (this.subscription !== undefined || this.state === 'closed') return;
    this.dueMs = nowMs + PERIOD_MS;
    this.subscription = this.timers.subscribe({ mailbox: this.mailbox, message: { type: 'tick' }, delayMs: PERIOD_MS });
  }

  /**
   * Ends a period. To be called for each `tick`.
   * @param nowMs - Current time, in milliseconds.
   * @returns Time since the last evaluation or the creation of the timer, and whether the timer fired late.
   */
  finish(nowMs: number): { readonly elapsedMs: number; readonly timeliness: 'on-time' | 'late' } {
    const elapsedMs = nowMs - this.lastEvaluationAtMs;
    this.subscription = undefined;
    this.lastEvaluationAtMs = nowMs;
    return { elapsedMs, timeliness: nowMs - this.dueMs > LATE_LIMIT_MS ? 'late' : 'on-time' };
  }

  /** Cancels the timer; it cannot be started again. */
  close(): void {
    this.state = 'closed';
    this.subscription?.cancel();
  }
}
