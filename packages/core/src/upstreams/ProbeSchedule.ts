import type * as instance from './Instance.js';
import type * as probeResult from './ProbeResult.js';

const SUSPECTED_PERIOD_MS = 1_000;

const EJECTED_PERIOD_MS = 5_000;

/** Time-out of a probe, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;

// A probe without a result after this time counts as failed, so that its slot is released.
const RESULT_TIMEOUT_MS = 2_000;

// A slower answer confirms the suspicion, like a failed probe.
const SLOW_MS = 250;

const RESULT_LIFETIME_MS = 5_000;

interface ProbeEntry {
  readonly instance: instance.Instance;
  sentAtMs: number;
  state: 'sent' | 'ended';
  /** `confirmed`: the probe failed or was slow, which confirms the suspicion. `none`: no probe has ended yet. */
  result: 'confirmed' | 'healthy' | 'none';
  endedAtMs: number;
}

/** Schedule of the health probes of suspected and ejected instances, with at most one probe in flight for each. */
export class ProbeSchedule {
  private readonly entries = new Map<string, ProbeEntry>();

  /**
   * Begins the probes that are due and occupies a slot for each.
   * @param instances - Instances that need probes.
   * @param nowMs - Current time, in milliseconds.
   * @returns Instances to which the caller of this method must send a probe now.
   */
  begin(instances: readonly instance.Instance[], nowMs: number): readonly instance.Instance[] {
    const wanted = new Set(instances);
    this.entries.forEach((entry, name) => {
      if (entry.state === 'sent' && nowMs - entry.sentAtMs >= RESULT_TIMEOUT_MS) this.finish(name, { type: 'failed' }, nowMs);
      if (!wanted.has(entry.instance) && entry.state === 'ended') this.entries.delete(name);
    });
    const due = instances.filter((each) => this.isDue(each, nowMs));
    due.forEach((each) => {
      each.takeSlot();
      const previous = this.entries.get(each.address.name);
      this.entries.set(each.address.name, {
        instance: each, sentAtMs: nowMs, state: 'sent', result: previous?.result ?? 'none', endedAtMs: previous?.endedAtMs ?? -Infinity,
      });
    });
    return due;
  }

  /**
   * Ends a probe and releases its slot.
   * @param name - Name of the instance.
   * @param result - Result of the probe.
   * @param nowMs - Current time, in milliseconds.
   * @returns Instance that was probed; undefined if no probe was in flight.
   */
  finish(name: string, result: probeResult.ProbeResult, nowMs: number): instance.Instance | undefined {
    const entry = this.entries.get(name);
    if (entry === undefined || entry.state === 'ended') return undefined;
    entry.state = 'ended';
    entry.endedAtMs = nowMs;
    entry.result = result.type === 'healthy' && result.latencyMs < SLOW_MS ? 'healthy' : 'confirmed';
    entry.instance.releaseSlot();
    return entry.instance;
  }

  /**
   * Gets the result of the last probe. `confirmed`: it failed or was slow, which confirms the suspicion. `none`: no recent probe.
   * @param target - Instance that was probed.
   * @param nowMs - Current time, in milliseconds.
   */
  getResult(target: instance.Instance, nowMs: number): 'confirmed' | 'healthy' | 'none' {
    const entry = this.entries.get(target.address.name);
    return entry?.instance !== target || nowMs - entry.endedAtMs >= RESULT_LIFETIME_MS ? 'none' : entry.result;
  }

  private isDue(target: instance.Instance, nowMs: number): boolean {
    const entry = this.entries.get(target.address.name);
    if (!target.hasFreeSlot() || entry?.state === 'sent') return false;
    const periodMs = target.ejection.getState() === 'ejected' ? EJECTED_PERIOD_MS : SUSPECTED_PERIOD_MS;
    return entry?.instance !== target || nowMs - entry.sentAtMs >= periodMs;
  }
}
