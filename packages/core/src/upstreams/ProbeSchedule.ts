import type * as instance from './Instance.js';
import type * as probeResult from './ProbeResult.js';

const PERIOD_MS = 1_000;

const EJECTED_PERIOD_MS = 5_000;

/** Time after which a probe has failed, in milliseconds. */
export const PROBE_TIMEOUT_MS = 500;

const RESULT_TIMEOUT_MS = 2_000;

const SLOW_MS = 250;

const RESULT_LIFETIME_MS = 5_000;

interface ProbeEntry {
  readonly instance: instance.Instance;
  sentAtMs: number;
  state: 'sent' | 'ended';
  result: 'confirmed' | 'healthy' | 'none';
  endedAtMs: number;
}

/** Which suspected and ejected instances are probed, one probe at a time for each. */
export class ProbeSchedule {
  private readonly entries = new Map<string, ProbeEntry>();

  /**
   * Begins the probes that are due.
   * @param instances - Suspected and ejected instances.
   * @param nowMs - Current time, in milliseconds.
   * @returns Instances to probe now.
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
   * Ends a probe and frees its slot.
   * @param name - Name of the instance.
   * @param result - How the probe ended.
   * @param nowMs - Current time, in milliseconds.
   * @returns Instance that was probed, undefined if no probe was under way.
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
   * Gets what the last probe says.
   * @param each - Instance that was probed.
   * @param nowMs - Current time, in milliseconds.
   */
  getResult(target: instance.Instance, nowMs: number): 'confirmed' | 'healthy' | 'none' {
    const entry = this.entries.get(target.address.name);
    return entry?.instance !== target || nowMs - entry.endedAtMs >= RESULT_LIFETIME_MS ? 'none' : entry.result;
  }

  private isDue(target: instance.Instance, nowMs: number): boolean {
    const entry = this.entries.get(target.address.name);
    if (!target.hasFreeSlot() || entry?.state === 'sent') return false;
    const periodMs = target.ejection.getState() === 'ejected' ? EJECTED_PERIOD_MS : PERIOD_MS;
    return entry?.instance !== target || nowMs - entry.sentAtMs >= periodMs;
  }
}
