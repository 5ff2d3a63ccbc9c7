import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as demoFailure from './DemoFailure.js';

type WaitResult = neverthrow.Result<void, demoFailure.DemoFailure>;

const POLL_PERIOD_MS = 50;

/** Waits for times and conditions on the timer service. */
export class DemoClock {
  readonly timers: core.time.TimerService = new core.time.SystemTimerService();

  /**
   * Waits for a time.
   * @param delayMs - Time in milliseconds.
   */
  wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.timers.subscribe({ mailbox: { post: () => resolve() }, message: undefined, delayMs });
    });
  }

  /**
   * Polls until a condition holds.
   * @param condition - Name of the condition, for the failure.
   * @param limitMs - Greatest time to wait.
   * @param check - Tells whether the condition holds.
   */
  async waitUntil(condition: string, limitMs: number, check: () => Promise<boolean>): Promise<WaitResult> {
    const endMs = this.timers.getNowMs() + limitMs;
    const poll = async (): Promise<WaitResult> => {
      if (await check()) return neverthrow.ok(undefined);
      if (this.timers.getNowMs() >= endMs) return neverthrow.err({ type: 'not-reached', condition });
      await this.wait(POLL_PERIOD_MS);
      return poll();
    };
    return poll();
  }
}
