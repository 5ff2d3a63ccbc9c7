import type * as core from '@tamarackferry/core';

import type * as route from '../contracts/Route.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as durationSamples from '../upstreams/DurationSamples.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import type * as requestArrival from './RequestArrival.js';

/** Attempt of a request at one instance. */
export interface RoutedAttempt {
  readonly attemptId: string;
  readonly instance: pooledInstance.PooledInstance;
  readonly sentAtMs: number;
  /** `unsent`: ended before a byte of the request was written, so that no instance got it. */
  state: 'open' | 'ended' | 'unsent';
}

/** Options of a `RoutedRequest`. */
export interface RoutedRequestOptions {
  readonly arrival: requestArrival.RequestArrival;
  readonly route: route.Route;
  readonly service: string;
  readonly durations: durationSamples.DurationSamples;
  readonly deadlineAtMs: number;
}

/** One request of a caller from its arrival to its answer. */
export class RoutedRequest {
  readonly attempts: RoutedAttempt[] = [];

  /** Answer of an instance that reported a failure, kept while another instance is tried. */
  failedAnswer: attemptEnding.InstanceAnswer | undefined;

  /** Whether an attempt may have run, for all that is known. */
  execution: 'not-run' | 'may-have-run' = 'not-run';

  state: 'waiting' | 'sent' | 'ended' = 'waiting';

  readonly timers: core.time.TimerSubscription[] = [];

  /** @param options - Request and what was decided at its arrival. */
  constructor(readonly options: RoutedRequestOptions) {}

  /** Lists the ids of the instances that the request was sent to. */
  listTriedInstances(): string[] {
    return this.attempts.map((attempt) => attempt.instance.getRecord().id);
  }

  /** Counts the attempts that reached an instance, for all that is known. */
  countSent(): number {
    return this.attempts.filter((attempt) => attempt.state !== 'unsent').length;
  }

  /** Whether an attempt is in flight. */
  hasOpenAttempt(): boolean {
    return this.attempts.some((attempt) => attempt.state === 'open');
  }

  /**
   * Computes the time left, in milliseconds.
   * @param nowMs - Present time.
   */
  computeRemainingMs(nowMs: number): number {
    return this.options.deadlineAtMs - nowMs;
  }

  /** Cancels the timers of the request. */
  cancelTimers(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.length = 0;
  }
}
