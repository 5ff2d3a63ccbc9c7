import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import type * as loadPattern from './LoadPattern.js';
import * as testGateway from './TestGateway.js';

const QUEUE_LENGTH = 16;

// Standard deviation of the logarithm of the processing times.
const WORK_SPREAD = 0.3;

// Share of the requests that are answered with a server error.
const FAILURE_SHARE = 0.012;

// Time after which an instance with a gray failure answers with an error.
const FAST_FAILURE_MS = 1;

interface Work {
  readonly key: string;
  readonly workMs: number;
  readonly reply: (ending: gateway.upstreams.AttemptEnding) => void;
}

/** Options of a `SimulatedInstance`. */
export interface SimulatedInstanceOptions {
  readonly record: gateway.upstreams.InstanceRecord;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly pattern: loadPattern.LoadPattern;
}

/** Simulated instance with slots, a queue, server errors and gray failures. An unanswered request occupies a slot until it is cancelled. */
export class SimulatedInstance {
  // Timers of the requests in progress by the keys of their attempts; undefined for a request that stays unanswered.
  private readonly running = new Map<string, core.time.TimerSubscription | undefined>();

  /** Time at which it last received a request. */
  usedAtMs = -Infinity;

  /** Requests that it failed at once during gray failures. */
  failedFast = 0;

  /** Times at which it received a request while it stated a limit. */
  readonly limitedArrivalsMs: number[] = [];

  private waiting: Work[] = [];

  // State in each span, drawn at the start so that the gray failures of a seed do not depend on the decisions of the VMs.
  private readonly spans: readonly ('gray' | 'healthy')[];

  // Offset in spans, so that the gray failures of different instances begin at different times.
  private readonly phase: number;

  private readonly speed: 'slow' | 'usual';

  private readonly limitation: 'limited' | 'unlimited';

  /** @param options - Instance and pattern. */
  constructor(readonly options: SimulatedInstanceOptions) {
    const { random, pattern } = options;
    this.phase = random.drawFraction();
    this.speed = random.drawFraction() < (pattern.slow?.share ?? 0) ? 'slow' : 'usual';
    this.limitation = pattern.limit?.service === options.record.service && random.drawFraction() < pattern.limit.share ? 'limited' : 'unlimited';
    this.spans = Array.from({ length: Math.ceil(pattern.lengthMs / pattern.gray.spanMs) + 2 }, () => (
      random.drawFraction() < pattern.gray.share ? 'gray' : 'healthy'
    ));
  }

  /**
   * Processes, queues or rejects a request.
   * @param key - Key of the attempt.
   * @param workMs - Mean processing time, in milliseconds.
   * @param reply - Receives the result, unless the request stays unanswered.
   */
  receive(key: string, workMs: number, reply: Work['reply']): void {
    const work = { key, workMs, reply };
    this.usedAtMs = this.options.timers.getNowMs();
    if (this.getLimit() !== undefined) this.limitedArrivalsMs.push(this.usedAtMs);
    if (this.isShedding()) reply({ type: 'not-run', statement: this.buildStatement() });
    else if (this.running.size < this.options.record.slots) this.start(work);
    else if (this.waiting.length < QUEUE_LENGTH) this.waiting.push(work);
    else reply({ type: 'not-run', statement: this.buildStatement() });
  }

  /**
   * Drops a request whose connection was closed.
   * @param key - Key of the attempt.
   */
  cancel(key: string): void {
    this.waiting = this.waiting.filter((work) => work.key !== key);
    if (!this.running.has(key)) return;
    this.running.get(key)?.cancel();
    this.finish(key);
  }

  private start(work: Work): void {
    const { timers, random, pattern } = this.options;
    const isAffected = this.isGray() && random.drawFraction() < pattern.gray.affectedShare;
    if (isAffected && pattern.gray.failure === 'unanswered') {
      this.running.set(work.key, undefined);
      return;
    }
    const normal = Math.sqrt(-2 * Math.log(1 - random.drawFraction())) * Math.cos(2 * Math.PI * random.drawFraction());
    const workedMs = work.workMs * Math.exp(WORK_SPREAD * normal - (WORK_SPREAD ** 2) / 2) * this.computeSlowFactor();
    const status = isAffected || random.drawFraction() < FAILURE_SHARE ? 500 : 200;
    const delayMs = isAffected ? FAST_FAILURE_MS : workedMs;
    if (isAffected) this.failedFast += 1;
    this.running.set(work.key, timers.subscribe({
      mailbox: {
        post: () => {
          this.finish(work.key);
          work.reply(testGateway.TestGateway.buildAnswer(status, this.buildStatement()));
        },
      },
      message: undefined,
      delayMs,
    }));
  }

  private finish(key: string): void {
    this.running.delete(key);
    const next = this.waiting.shift();
    if (next !== undefined) this.start(next);
  }

  private buildStatement(): gateway.upstreams.InstanceStatement {
    const limit = this.getLimit();
    return {
      limit: limit === undefined ? { type: 'none' } : { type: 'stated', perSecond: limit },
      load: { running: this.running.size, waiting: this.waiting.length, slots: this.options.record.slots },
      presence: 'staying',
    };
  }

  private computeSlowFactor(): number {
    const { slow } = this.options.pattern;
    const nowMs = this.options.timers.getNowMs();
    return slow !== undefined && this.speed === 'slow' && nowMs >= slow.fromMs && nowMs < slow.toMs ? slow.factor : 1;
  }

  /**
   * Whether it has no gray failure now and had none at the start of the given time.
   * @param spanMs - Length of the time that ends now, in milliseconds.
   */
  isHealthyFor(spanMs: number): boolean {
    return !this.isGray() && !this.isGray(spanMs);
  }

  /** Counts its gray failures until now. */
  countGraySpells(): number {
    const { spanMs } = this.options.pattern.gray;
    const current = Math.floor(this.options.timers.getNowMs() / spanMs + this.phase);
    return this.spans.slice(0, current + 1).filter((state, index, all) => state === 'gray' && all[index - 1] !== 'gray').length;
  }

  /** Gets the limit that it states now, in requests per second. Undefined if it states none. */
  getLimit(): number | undefined {
    const { limit } = this.options.pattern;
    const nowMs = this.options.timers.getNowMs();
    return limit !== undefined && this.limitation === 'limited' && nowMs >= limit.fromMs && nowMs < limit.toMs ? limit.perSecond : undefined;
  }

  private isShedding(): boolean {
    const { shed } = this.options.pattern;
    const nowMs = this.options.timers.getNowMs();
    return shed !== undefined && this.options.record.service === shed.service && nowMs >= shed.fromMs && nowMs < shed.toMs
      && this.options.random.drawFraction() < shed.share;
  }

  private isGray(beforeMs = 0): boolean {
    const { gray } = this.options.pattern;
    const span = Math.floor(Math.max(0, this.options.timers.getNowMs() - beforeMs) / gray.spanMs + this.phase);
    return this.spans[span] === 'gray';
  }
}
