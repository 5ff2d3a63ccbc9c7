import type * as evidenceRow from './EvidenceRow.js';
import type * as instance from './Instance.js';

const REQUEST_INTERVAL_MIN_MS = 1_000;

const INSTANCE_REQUEST_INTERVAL_MIN_MS = 2_000;

const REPLY_INTERVAL_MIN_MS = 1_000;

/**
 * Limits how often this VM requests evidence about an instance from its peers, and how often it reports its own counts to each of them.
 */
export class EvidenceRateLimiter {
  private requestedAtMs = -Infinity;

  // By the name of the instance.
  private readonly instanceRequestedAtMs = new Map<string, number>();

  // By the names of the peer and of the instance.
  private readonly repliedAtMs = new Map<string, number>();

  /**
   * Lists the instances about which evidence is to be requested from peers now, and records the request.
   * @param suspects - Suspected instances.
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
   * Lists the counts to report to a peer now, and records the report.
   * @param from - Name of the peer.
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
      // A row without attempts contains no evidence, but the receiver would count it as a reply.
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
