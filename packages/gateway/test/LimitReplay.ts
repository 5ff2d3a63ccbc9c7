import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';

// A VM tries to send a request this often, which is far more than the limits permit.
const DEMAND_INTERVAL_MS = 20;

// Intervals and delays of the reports of a VM to VMs of its place and of the others.
const REPORT_INTERVAL_MS = 75;
const OTHER_PLACE_INTERVAL_MS = 250;
const RESEND_INTERVAL_MS = 500;
const DELAY_MS = 6;

const PLACES = 3;
const LENGTH_MS = 16_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
const LIMIT_SPAN_MS = 4_000;
const LIMIT_NOTICE_MS = 3_000;

/** Options of a `LimitReplay`. */
export interface LimitReplayOptions {
  readonly vms: number;
  readonly perSecond: number;
  /** Share of the reports that are lost. */
  readonly lostShare: number;
  /** Share of the other VMs that a VM does not take for active. */
  readonly unseenShare: number;
  /** Interval at which a VM is started again, each time another one; undefined if none is. */
  readonly restartIntervalMs: number | undefined;
  readonly seed: number;
}

interface LimitedVm {
  readonly name: string;
  readonly active: readonly string[];
  readonly phaseMs: number;
  limit: gateway.upstreams.RequestLimit;
  reported: number;
  reportedAtMs: number;
}

/** Lets many VMs send requests to one instance as fast as its limit permits, with reports that are late or lost. */
export class LimitReplay {
  private readonly random: core.randomness.RandomSource;

  private readonly vms: LimitedVm[];

  private readonly arrivalsMs: number[] = [];

  // Reports on their way, by the time of their arrival.
  private readonly reports = new Map<number, (() => void)[]>();

  /** @param options - Number of VMs, limit and faults. */
  constructor(private readonly options: LimitReplayOptions) {
    this.random = new core.randomness.SeededRandomSource(options.seed);
    const names = Array.from({ length: options.vms }, (_, index) => `vm${index}`);
    this.vms = names.map((name) => ({
      name,
      active: names.filter((other) => other === name || this.random.drawFraction() >= options.unseenShare).sort(),
      phaseMs: this.random.drawInteger(DEMAND_INTERVAL_MS),
      limit: new gateway.upstreams.RequestLimit('i1', options.perSecond, 0),
      reported: 0,
      reportedAtMs: 0,
    }));
  }

  /** Runs the replay. */
  run(): void {
    for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += 1) {
      this.reports.get(nowMs)?.forEach((deliver) => deliver());
      this.reports.delete(nowMs);
      this.resetVm(nowMs);
      this.vms.forEach((vm, index) => {
        if ((nowMs + vm.phaseMs) % DEMAND_INTERVAL_MS === 0) this.sendIfPermitted(vm, nowMs);
        if ((nowMs + vm.phaseMs) % REPORT_INTERVAL_MS === 0) this.report(vm, index, nowMs);
      });
    }
  }

  /** Computes the greatest number of requests in a span of four seconds beyond what the limit permits; negative if it was kept. */
  computeExcess(): number {
    const counted = this.arrivalsMs.filter((atMs) => atMs >= LIMIT_NOTICE_MS);
    const sums = counted.map((fromMs) => counted.filter((atMs) => atMs >= fromMs && atMs < fromMs + LIMIT_SPAN_MS).length);
    return Math.max(0, ...sums) - (LIMIT_FACTOR * this.options.perSecond * LIMIT_SPAN_MS) / 1_000 - LIMIT_SLACK;
  }

  /** Computes the share of the limit that was used. */
  computeUse(): number {
    const counted = this.arrivalsMs.filter((atMs) => atMs >= LIMIT_NOTICE_MS);
    return counted.length / ((this.options.perSecond * (LENGTH_MS - LIMIT_NOTICE_MS)) / 1_000);
  }

  private sendIfPermitted(vm: LimitedVm, nowMs: number): void {
    if (!vm.limit.canSend(vm.name, vm.active, nowMs)) return;
    vm.limit.recordSent(nowMs);
    this.arrivalsMs.push(nowMs);
  }

  // A VM that was started again learns of the limit at once, but not what was sent before.
  private resetVm(nowMs: number): void {
    const { restartIntervalMs, perSecond } = this.options;
    if (restartIntervalMs === undefined || nowMs === 0 || nowMs % restartIntervalMs !== 0) return;
    const restarted = this.vms[(nowMs / restartIntervalMs) % this.vms.length]!;
    restarted.limit = new gateway.upstreams.RequestLimit('i1', perSecond, nowMs);
    restarted.reported = 0;
  }

  private report(vm: LimitedVm, index: number, nowMs: number): void {
    const sent = vm.limit.countSent();
    if (sent === 0 || (sent === vm.reported && nowMs - vm.reportedAtMs < RESEND_INTERVAL_MS)) return;
    Object.assign(vm, { reported: sent, reportedAtMs: nowMs });
    this.vms.forEach((other, otherIndex) => {
      if (other === vm || this.random.drawFraction() < this.options.lostShare) return;
      const delayMs = index % PLACES === otherIndex % PLACES ? DELAY_MS : DELAY_MS + this.random.drawInteger(OTHER_PLACE_INTERVAL_MS);
      const deliver = (): void => other.limit.recordPeerSent(vm.name, sent, nowMs + delayMs);
      this.reports.set(nowMs + delayMs, [...this.reports.get(nowMs + delayMs) ?? [], deliver]);
    });
  }
}
