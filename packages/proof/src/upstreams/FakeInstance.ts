import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as links from '../links/index.js';
import type * as worlds from '../worlds/index.js';
import * as grayMode from './GrayMode.js';
import type * as upstreamRun from './UpstreamRun.js';

// Answers of a cold instance take this many times longer at first.
const COLD_FACTOR = 4;

// Requests that an instance keeps beyond its slots, as a multiple of the slots.
const QUEUE_PER_SLOT = 8;

// A leaving instance serves new work for this long before it refuses it.
const LEAVING_SERVES_MS = 10_000;

// A large part of the service time is fixed, the rest is exponential.
const FIXED_SHARE = 0.6;

/** Options of a `FakeInstance`. */
export interface FakeInstanceOptions {
  readonly name: string;
  readonly place: string;
  readonly index: number;
  readonly plan: contracts.ServicePlan;
  readonly queue: worlds.EventQueue;
  readonly random: core.randomness.RandomSource;
  /** Called when the instance begins to run a request. */
  readonly onRun: (instance: FakeInstance, token: string) => void;
}

/** Upstream instance with slots, a service time and faults. */
export class FakeInstance {
  readonly endpoint: links.Endpoint;

  /** Gray mode, or undefined for a healthy instance. */
  mode: grayMode.GrayMode | undefined;

  /** Load that is reported in place of the slots in use. */
  reportedLoad: number | undefined;

  /** Whether the health endpoint tells the opposite of the truth. */
  health: 'truthful' | 'unhealthy' = 'truthful';

  private state: 'live' | 'leaving' | 'dead' = 'live';

  private refusesFromMs = Infinity;

  private coldFromMs = -Infinity;

  private coldUntilMs = -Infinity;

  private incarnations = 1;

  private running = new Set<upstreamRun.UpstreamRun>();

  private waiting: upstreamRun.UpstreamRun[] = [];

  private lastToken = '';

  /** @param options - Name, service and surroundings. */
  constructor(private readonly options: FakeInstanceOptions) {
    this.endpoint = { name: options.name, place: options.place, role: 'instances' };
  }

  /** Service that the instance belongs to. */
  get service(): string {
    return this.options.plan.contract.name;
  }

  /** Plan of the service of the instance. */
  get plan(): contracts.ServicePlan {
    return this.options.plan;
  }

  /** Token of the running process. */
  get incarnation(): string {
    return `u${this.incarnations}`;
  }

  /** Gets whether the instance runs and takes work. */
  getState(): 'live' | 'leaving' | 'dead' {
    return this.state;
  }

  /** Returns whether the instance is live, not leaving, warm and not gray. */
  isHealthy(): boolean {
    return this.state === 'live' && this.mode === undefined && this.isWarm();
  }

  /** Returns whether the instance has warmed up since its start. */
  isWarm(): boolean {
    return this.options.queue.getNowMs() >= this.coldUntilMs;
  }

  /** Builds the entry of the instance in the list of the platform. */
  buildListEntry(): core.vms.UpstreamListEntry {
    const { index } = this.options;
    return {
      role: 'upstream',
      name: this.options.name,
      service: this.service,
      incarnation: this.incarnation,
      host: `10.1.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      port: 9_000,
      place: this.options.place,
      state: this.state === 'leaving' ? 'leaving' : 'live',
    };
  }

  /** Ends the process without notice. */
  kill(): void {
    this.state = 'dead';
    const lost = [...this.running, ...this.waiting];
    this.running = new Set();
    this.waiting = [];
    lost.forEach((run) => {
      run.end();
      run.options.reset();
    });
  }

  /**
   * Starts a new process, which is cold at first.
   * @param coldForMs - Time until it is warm, in milliseconds.
   */
  start(coldForMs: number): void {
    if (this.state !== 'dead') this.kill();
    this.incarnations += 1;
    this.state = 'live';
    this.mode = undefined;
    this.coldFromMs = this.options.queue.getNowMs();
    this.coldUntilMs = this.coldFromMs + coldForMs;
  }

  /** Begins to leave: every answer carries the drain signal, and after a while new work is refused as not run. */
  drain(): void {
    if (this.state !== 'live') return;
    this.state = 'leaving';
    this.refusesFromMs = this.options.queue.getNowMs() + LEAVING_SERVES_MS;
  }

  /**
   * Takes a run, queues it, or refuses it as not run. Returns when the reply leaves in milliseconds, or undefined if that is not known.
   * @param run - Work with the receiver of its reply.
   */
  receive(run: upstreamRun.UpstreamRun): number | undefined {
    const { slotsPerInstance } = this.options.plan.contract;
    if (this.state === 'leaving' && this.options.queue.getNowMs() >= this.refusesFromMs) {
      this.refuse(run, 'draining');
    } else if (this.running.size < slotsPerInstance) {
      return this.begin(run);
    } else if (this.options.plan.overload === 'queue' && this.waiting.length < slotsPerInstance * QUEUE_PER_SLOT) {
      this.waiting.push(run);
      return undefined;
    } else {
      this.refuse(run, 'shed');
    }
    return this.options.queue.getNowMs();
  }

  /**
   * Cancels a run. A run that has not begun never runs; that is confirmed if the service confirms cancellations.
   * @param run - Run to cancel.
   */
  cancel(run: upstreamRun.UpstreamRun): void {
    if (run.state !== 'queued') return;
    this.waiting = this.waiting.filter((waiting) => waiting !== run);
    run.end();
    if (run.options.cancellation === 'confirmed') this.reply(run, 'whole', run.options.token, 'cancelled');
  }

  private refuse(run: upstreamRun.UpstreamRun, notRun: 'shed' | 'draining'): void {
    run.end();
    this.reply(run, 'failed', run.options.token, notRun);
  }

  private begin(run: upstreamRun.UpstreamRun): number | undefined {
    const { queue, random } = this.options;
    const nowMs = queue.getNowMs();
    run.begin();
    this.running.add(run);
    const probe = run.options.token === '';
    const effect = probe || this.mode === undefined ? grayMode.HEALTHY_EFFECT : this.mode.computeEffect(nowMs, random.drawFraction());
    if (!probe) this.options.onRun(this, run.options.token);
    const variation = FIXED_SHARE - (1 - FIXED_SHARE) * Math.log(1 - random.drawFraction());
    const serviceTimeMs = run.options.serviceTimeMs * variation * effect.slowBy * this.computeColdFactor(nowMs);
    queue.schedule(serviceTimeMs, () => this.complete(run, effect));
    return effect.answer === 'silent' || effect.answer === 'late' ? undefined : nowMs + serviceTimeMs;
  }

  private complete(run: upstreamRun.UpstreamRun, effect: grayMode.RunEffect): void {
    if (run.state !== 'running') return;
    run.end();
    this.running.delete(run);
    const token = effect.answer === 'crossed' ? this.lastToken : run.options.token;
    if (run.options.token !== '') this.lastToken = run.options.token;
    if (effect.answer !== 'silent') this.reply(run, run.options.token === '' ? 'healthy' : effect.answer, token, undefined);
    this.beginWaiting();
  }

  private beginWaiting(): void {
    const nowMs = this.options.queue.getNowMs();
    // An instance that is told a deadline does not run what nobody waits for.
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (next.options.deadlineAtMs > nowMs) {
        this.begin(next);
        return;
      }
      next.end();
    }
  }

  private reply(
    run: upstreamRun.UpstreamRun,
    answer: upstreamRun.InstanceReply['answer'],
    token: string,
    notRun: upstreamRun.InstanceReply['notRun'],
  ): void {
    run.options.reply({
      answer,
      token,
      notRun,
      drain: this.state === 'leaving' ? 'leaving' : undefined,
      load: this.reportedLoad ?? this.running.size,
    });
  }

  private computeColdFactor(nowMs: number): number {
    if (nowMs >= this.coldUntilMs) return 1;
    return 1 + (COLD_FACTOR - 1) * ((this.coldUntilMs - nowMs) / (this.coldUntilMs - this.coldFromMs));
  }
}
