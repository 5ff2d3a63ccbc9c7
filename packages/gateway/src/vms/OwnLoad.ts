import type * as vmLoad from './VmLoad.js';

// Time over which measurements are smoothed: short against the time that callers keep an answer of the directory, and long against a
// garbage collection.
const SMOOTHING_MS = 500;

// A VM that uses this share of its processor time is saturated: how much more work is offered is not known from what it does. It then
// counts as offered this many times what is used, which the bursts of 1.7 to 2.5 times the usual load need.
const SATURATED_SHARE = 0.85;
const SATURATED_FACTOR = 2;

// An answer passes the event loop at least twice, so that this delay costs a caller an eighth of a second.
const LATE_LOOP_MS = 60;

// A VM whose event loop is late although it uses less than this share of its processor time is slowed down from outside.
const SLOWED_SHARE = 0.7;

// A single late measurement, as by a busy machine or a garbage collection, does not show that a VM is slowed down.
const SLOWED_SAMPLES = 3;

// Processor time that a request takes at most, in core seconds. What a VM uses beyond it is not offered by callers, but caused by the
// exchange with other VMs: it grows with the number of VMs that serve callers, and must not add to that number.
const MAX_REQUEST_CORE_S = 0.0015;

// The code of a process that has just started is not compiled yet. What it bears grows from the first share to all of its capacity.
const WARM_SHARE = 0.25;
const WARM_MS = 5_000;

// An idle VM with less of its memory in use reports nothing.
const NOTABLE_MEMORY_SHARE = 0.75;

// Smallest capacity that is reported, so that shares can be computed.
const MIN_CORES = 0.01;

/**
 * Estimates from measurements of a VM how much work callers offer it and how much it bears. Load patterns: a burst of 1.7 to 2.5 times the
 * usual load, in which the processor time is used up and no longer shows the load; VMs that are slowed down; the start of all VMs at once.
 */
export class OwnLoad {
  // Processor time in use, and the part of it that callers cause.
  private usedCores = 0;

  private cores = 0;

  private linkMbps = 0;

  private loopDelayMs = 0;

  private memoryShare = 0;

  // Number of measurements in a row, while requests were in progress, at which the event loop was late.
  private lateSamples = 0;

  private measuredAtMs: number | undefined;

  /**
   * @param capacity - CPU capacity of the VM, in cores.
   * @param startedAtMs - Time at which the process started.
   */
  constructor(private readonly capacity: number, private readonly startedAtMs: number) {}

  /**
   * Records a measurement.
   * @param sample - Measurement.
   * @param nowMs - Current time.
   */
  record(sample: vmLoad.VmLoadSample, nowMs: number): void {
    const share = this.measuredAtMs === undefined ? 1 : 1 - Math.exp((this.measuredAtMs - nowMs) / SMOOTHING_MS);
    const smooth = (previous: number, value: number): number => previous + share * (value - previous);
    // Without requests the work is that of the process itself, such as its start.
    const isServing = sample.openRequests > 0 || sample.requestsPerSecond > 0;
    this.usedCores = smooth(this.usedCores, isServing ? sample.cores : 0);
    this.cores = smooth(this.cores, isServing ? Math.min(sample.cores, sample.requestsPerSecond * MAX_REQUEST_CORE_S) : 0);
    this.linkMbps = smooth(this.linkMbps, isServing ? sample.linkMbps : 0);
    this.loopDelayMs = smooth(this.loopDelayMs, sample.loopDelayMs);
    this.lateSamples = isServing && sample.loopDelayMs >= LATE_LOOP_MS ? this.lateSamples + 1 : 0;
    this.memoryShare = sample.memoryShare;
    this.measuredAtMs = nowMs;
  }

  /**
   * Whether the event loop is late although the VM uses little of its processor time. While it starts, it is late by itself.
   * @param nowMs - Current time.
   */
  isSlowed(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= WARM_MS && this.lateSamples >= SLOWED_SAMPLES && this.usedCores < SLOWED_SHARE * this.capacity;
  }

  /**
   * Builds the report for the other VMs. Undefined while an idle VM bears its whole capacity.
   * @param nowMs - Current time.
   */
  buildReport(nowMs: number): vmLoad.VmLoad | undefined {
    const isSaturated = this.usedCores >= SATURATED_SHARE * this.capacity || (this.loopDelayMs >= LATE_LOOP_MS && this.cores > 0);
    const warm = Math.min(1, WARM_SHARE + (1 - WARM_SHARE) * ((nowMs - this.startedAtMs) / WARM_MS));
    const bears = this.isSlowed(nowMs) ? Math.min(this.capacity, this.usedCores) : this.capacity * warm;
    const cores = OwnLoad.toRounded(this.cores * (isSaturated ? SATURATED_FACTOR : 1));
    const linkMbps = OwnLoad.toRounded(this.linkMbps);
    if (cores === 0 && linkMbps === 0 && bears === this.capacity && this.memoryShare < NOTABLE_MEMORY_SHARE) return undefined;
    return {
      cores,
      linkMbps,
      bears: Math.max(MIN_CORES, OwnLoad.toRounded(bears)),
      memoryShare: OwnLoad.toRounded(this.memoryShare),
    };
  }

  private static toRounded(value: number): number {
    return Math.round(value * 1_000) / 1_000;
  }
}
