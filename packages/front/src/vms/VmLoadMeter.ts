import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import * as links from '../links/index.js';

// A VM that serves no requests measures itself as rarely as it wakes up for heartbeats.
const BUSY_INTERVAL_MS = 250;
const IDLE_INTERVAL_MS = 1_000;

const MICROSECONDS_PER_MS = 1_000;
const MS_PER_S = 1_000;
const BITS_PER_BYTE = 8;
const KBIT_PER_MBIT = 1_000;

/** Options of a `VmLoadMeter`. */
export interface VmLoadMeterOptions {
  readonly timers: core.time.TimerService;
  /** Task that receives the measurements. */
  readonly membershipTask: core.tasks.Mailbox<gateway.vms.MembershipMessage>;
  /** Memory that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Counts the requests of callers in progress. */
  readonly countRequests: () => number;
  /** Counts all requests of callers that have arrived. */
  readonly countArrivals: () => number;
}

/** Measures the processor time, loop delay, bytes on links and memory of the process, and reports them to the `MembershipTask`. */
export class VmLoadMeter implements core.tasks.Mailbox<{ readonly type: 'measure' }> {
  private readonly links = new links.LinkMeter();

  private timer: core.time.TimerSubscription | undefined;

  private measuredAtMs = 0;

  private dueAtMs = 0;

  private processorUs = 0;

  private arrivals = 0;

  private bytes = { read: 0, written: 0 };

  /** @param options - Sources of the measurements and their receiver. */
  constructor(private readonly options: VmLoadMeterOptions) {}

  /** Starts to measure. */
  start(): void {
    this.links.start();
    this.measuredAtMs = this.options.timers.getNowMs();
    this.processorUs = VmLoadMeter.readProcessorUs();
    this.startTimer(IDLE_INTERVAL_MS);
  }

  /** Ends the measurements. */
  stop(): void {
    this.links.stop();
    this.timer?.cancel();
  }

  /** @internal */
  post(): void {
    const { timers, membershipTask, memoryBytes } = this.options;
    const nowMs = timers.getNowMs();
    const elapsedMs = Math.max(1, nowMs - this.measuredAtMs);
    const processorUs = VmLoadMeter.readProcessorUs();
    const bytes = this.links.sumBytes();
    const busierBytes = Math.max(bytes.read - this.bytes.read, bytes.written - this.bytes.written);
    const openRequests = this.options.countRequests();
    const arrivals = this.options.countArrivals();
    membershipTask.post({
      type: 'load-measured',
      sample: {
        cores: (processorUs - this.processorUs) / MICROSECONDS_PER_MS / elapsedMs,
        linkMbps: (busierBytes * BITS_PER_BYTE) / elapsedMs / KBIT_PER_MBIT,
        loopDelayMs: Math.max(0, nowMs - this.dueAtMs),
        memoryShare: process.memoryUsage.rss() / memoryBytes,
        openRequests,
        requestsPerSecond: ((arrivals - this.arrivals) * MS_PER_S) / elapsedMs,
      },
    });
    this.arrivals = arrivals;
    this.measuredAtMs = nowMs;
    this.processorUs = processorUs;
    this.bytes = bytes;
    this.startTimer(openRequests > 0 ? BUSY_INTERVAL_MS : IDLE_INTERVAL_MS);
  }

  private startTimer(delayMs: number): void {
    this.dueAtMs = this.options.timers.getNowMs() + delayMs;
    this.timer = this.options.timers.subscribe({ mailbox: this, message: { type: 'measure' as const }, delayMs });
  }

  private static readProcessorUs(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
  }
}
