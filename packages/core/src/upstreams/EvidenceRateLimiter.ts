import type * as evidenceRow from './EvidenceRow.js';
import type * as instance from './Instance.js';

const REQUEST_PERIOD_MS = 1_000;

const INSTANCE_REQUEST_PERIOD_MS = 2_000;

const REPLY_PERIOD_MS = 1_000;

/**
 * Limits how often this VM requests evidence about an instance from its peers, and how often it reports its own counts to each of them.
 */
export class EvidenceRateLimiter {
  private lastRequestAtMs = -Infinity;

  // By the name of the instance.
  private readonly lastRequestAtMsByInstance = new Map<string, number>();

  // By the names of the peer and of the instance.
  private readonly lastReplyAtMs = new Map<string, number>();

  /**
   * Lists the instances about which evidence is to be requested from peers now, and records the request.
   * @param suspects - Suspected instances.
   * @param nowMs - Current time, in milliseconds.
   */
  listRequests(suspects: readonly instance.Instance[], nowMs: number): readonly string[] {
    this.expire(nowMs);
    if (nowMs - this.lastRequestAtMs < REQUEST_PERIOD_MS) return [];
    const names = suspects.map((each) => each.address.name).filter((name) => !this.lastRequestAtMsByInstance.has(name));
    if (names.length > 0) this.lastRequestAtMs = nowMs;
    names.forEach((name) => this.lastRequestAtMsByInstance.set(name, nowMs));
    return names;
  }

  /**
   * Lists the counts to report to a peer now, and records the report.
   * @param from - Name of the peer.
   * @param instances - Instances about which the peer requested evidence.
   * @param nowMs - Current time, in milliseconds.
   */
  listRows(from: string, instances: readonly instance.Instance[], nowMs: number): readonly evidenceRow.EvidenceRow[] {
    this.expire(nowMs);
    return instances.filter((each) => !this.lastReplyAtMs.has(`${from}\n${each.address.name}`))
      .map((each) => ({
        instance: each.address.name,
        incarnation: each.address.incarnation,
        good: Math.round(each.observations.window.good),
        bad: Math.round(each.observations.window.bad),
      }))
      // A row without attempts contains no evidence, but the receiver would count it as a reply.
      .filter((row) => row.good + row.bad > 0)
      .map((row) => {
        this.lastReplyAtMs.set(`${from}\n${row.instance}`, nowMs);
        return row;
      });
  }

  private expire(nowMs: number): void {
    this.lastRequestAtMsByInstance.forEach((atMs, name) => {
      if (nowMs - atMs >= INSTANCE_REQUEST_PERIOD_MS) this.lastRequestAtMsByInstance.delete(name);
    });
    this.lastReplyAtMs.forEach((atMs, key) => {
      if (nowMs - atMs >= REPLY_PERIOD_MS) this.lastReplyAtMs.delete(key);
    });
  }
}
