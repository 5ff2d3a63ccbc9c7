import type * as core from '@tamarackferry/core';

import type * as route from '../contracts/Route.js';
import type * as tenant from '../contracts/Tenant.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as durationSamples from '../upstreams/DurationSamples.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import type * as requestArrival from './RequestArrival.js';
import type * as scarceRetries from './ScarceRetries.js';

/** One attempt to have a request processed by an instance. */
export interface RoutedAttempt {
  readonly attemptId: string;
  readonly instance: pooledInstance.PooledInstance;
  /** Published record of the instance when the attempt was sent. */
  readonly record: instanceRecord.InstanceRecord;
  readonly sentAtMs: number;
  /** `open`: in flight. `unsent`: ended before any byte of the request was written, so the instance received nothing. */
  state: 'open' | 'ended' | 'unsent';
}

/** Options of a `RoutedRequest`. */
export interface RoutedRequestOptions {
  readonly arrival: requestArrival.RequestArrival;
  readonly route: route.Route;
  readonly identity: tenant.CallerIdentity;
  /** Name of the service that the request is routed to. */
  readonly service: string;
  /** Durations of the answers of the route. */
  readonly durations: durationSamples.DurationSamples;
  /** Time at which the request is refused if it has no answer yet. */
  readonly deadlineAtMs: number;
}

/** Request of a caller from its arrival until it is answered, refused or abandoned. */
export class RoutedRequest {
  readonly attempts: RoutedAttempt[] = [];

  /** Latest answer with a server error, kept for the caller while another instance is tried. */
  failedAnswer: attemptEnding.InstanceAnswer | undefined;

  /** Whether an instance may have processed the request, as far as the attempts that ended show. */
  execution: 'not-run' | 'may-have-run' = 'not-run';

  /** `waiting`: for a free slot. `sent`: to an instance. `ended`: answered, refused or abandoned. */
  state: 'waiting' | 'sent' | 'ended' = 'waiting';

  readonly timers: core.time.TimerSubscription[] = [];

  /** @param options - Request, with the route, the service and the deadline determined at its arrival. */
  constructor(readonly options: RoutedRequestOptions) {}

  /** Gets the tenant on whose behalf the request was sent, or undefined if there is none. */
  getTenant(): tenant.Tenant | undefined {
    const { identity } = this.options;
    return identity.type === 'tenant' ? identity.tenant : undefined;
  }

  /** Gets the ranks of the tenant and of the route. A request without a tenant has the rank of a tenant without a stated priority. */
  getRanks(): scarceRetries.RequestRanks {
    return { tenantRank: this.getTenant()?.rank ?? 0, routeRank: this.options.route.rank };
  }

  /** Lists the ids of the instances of all attempts, including those that could not be reached. */
  listTriedInstances(): string[] {
    return this.attempts.map((attempt) => attempt.instance.getRecord().id);
  }

  /** Counts the attempts that may have reached their instance, including those in flight. */
  countSent(): number {
    return this.attempts.filter((attempt) => attempt.state !== 'unsent').length;
  }

  /** Whether an attempt is in flight. */
  hasOpenAttempt(): boolean {
    return this.attempts.some((attempt) => attempt.state === 'open');
  }

  /**
   * Computes the time until the deadline, in milliseconds.
   * @param nowMs - Current time.
   */
  computeRemainingMs(nowMs: number): number {
    return this.options.deadlineAtMs - nowMs;
  }

  /**
   * Computes the time for which the caller still waits, in milliseconds.
   * @param nowMs - Current time.
   */
  computeCallerRemainingMs(nowMs: number): number {
    const { arrival } = this.options;
    return arrival.deadlineMs === undefined ? Infinity : arrival.arrivedAtMs + arrival.deadlineMs - nowMs;
  }

  /** Cancels the timers of the request. */
  cancelTimers(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.length = 0;
  }
}
