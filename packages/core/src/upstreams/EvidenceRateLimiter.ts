import type * as evidenceRow from './EvidenceRow.js';
import type * as instance from './Instance.js';

// Minimum interval between any two requests.
const REQUEST_INTERVAL_MIN_MS = 1_000;

// Minimum interval between two requests about the same instance.
const INSTANCE_REQUEST_INTERVAL_MIN_MS = 2_000;

// Minimum interval between two replies to the same peer about the same instance.
const REPLY_INTERVAL_MIN_MS = 1_000;

/** Limits how often this VM requests evidence about instances from its peers, and how often it replies to their requests. */
export class EvidenceRateLimiter {
  private requestedAtMs = -Infinity;

  // Time of the last request about each instance, by the name of the instance.
  private readonly instanceRequestedAtMs = new Map<string, number>();

  // Time of the last reply to each peer about each instance, by the names of both.
  private readonly repliedAtMs = new Map<string, number>();

  /**
   * Selects the instances about which evidence is to be requested from peers now, and records the request.
   * @param suspectedInstances - Instances that this VM suspects of a failure.
   * @param nowMs - Current time, in milliseconds.
   */
  takeInstancesToRequest(suspectedInstances: readonly instance.Instance[], nowMs: number): readonly string[] {
    this.expire(nowMs);
    if (nowMs - this.requestedAtMs < REQUEST_INTERVAL_MIN_MS) return [];
    const names = suspectedInstances.map((each) => each.address.name).filter((name) => !this.instanceRequestedAtMs.has(name));
    if (names.length > 0) this.requestedAtMs = nowMs;
    names.forEach((name) => this.instanceRequestedAtMs.set(name, nowMs));
    return names;
  }

  /**
   * Selects the evidence to send to a peer now, and records the reply.
   * @param peerName - Name of the peer.
   * @param instances - Instances about which the peer requested evidence.
   * @param nowMs - Current time, in milliseconds.
   */
  takeReplyRows(peerName: string, instances: readonly instance.Instance[], nowMs: number): readonly evidenceRow.EvidenceRow[] {
    this.expire(nowMs);
    return instances.filter((each) => !this.repliedAtMs.has(`${peerName}\n${each.address.name}`))
      .map((each) => ({
        instance: each.address.name,
        incarnation: each.address.incarnation,
        good: Math.round(each.observations.window.good),
        bad: Math.round(each.observations.window.bad),
      }))
      // Omits instances without recent attempts: the receiver would count an empty row as a peer that replied.
      .filter((row) => row.good + row.bad > 0)
      .map((row) => {
        this.repliedAtMs.set(`${peerName}\n${row.instance}`, nowMs);
        return row;
      });
  }

  private expire(nowMs: number): void {
    this.instanceRequestedAtMs.forEach((atMs, name) => {
      if (nowMs - atMs >= INSTANCE_REQUEST_INTERVAL_MIN_MS) this.instanceRequestedAtMs.delete(name);
    });
    this.repliedAtMs.forEach((atMs, key) => {
      if (nowMs - atMs >= REPLY_INTERVAL_MIN_MS) this.repliedAtMs.delete(key);
    });
  }
}
