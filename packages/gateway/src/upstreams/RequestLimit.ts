import * as core from '@tamarackferry/core';

// An instance that accepts (almost) nothing still receives this many requests per second from all VMs together, since only its answers show
// whether its limit still holds.
const MIN_RATE_PER_S = 0.25;

// The VMs learn of each other's requests with a delay: evidence is sent to other places every 250 ms, and may be lost once.
const NOTICE_DELAY_MS = 600;

// Requests that all VMs together may send before they know of each other's: the limit of one second and this number.
const UNKNOWN_SLACK = 4;

// Requests that were not sent may be sent later, up to the limit of the first time. Excess requests are made up for, up to the limit of the
// second.
const MAX_SAVED_S = 1;
const MAX_DEBT_S = 4;

interface PeerCount {
  readonly sent: number;
  readonly atMs: number;
}

/**
 * Keeps the requests of all VMs to one instance within the limit that it states. Each VM has a token bucket with the whole limit. It takes
 * a token for each request of its own at once, and for those of the other VMs when it hears of them. What the VMs may send before they hear
 * of each other is divided among them.
 */
export class RequestLimit {
  private tokens = 0;

  private refilledAtMs: number;

  // Number of requests that this VM has sent since it knows of the limit.
  private sent = 0;

  private latestSentAtMs: number;

  // Times of the requests of this VM that the other VMs may not know of yet.
  private recentMs: number[] = [];

  // Numbers of requests that the other VMs reported.
  private readonly peers = new Map<string, PeerCount>();

  // Whether this VM is one of those that use the instance, and the VMs for which that was determined.
  private ranked: { readonly key: string; readonly own: 'user' | 'none' } | undefined;

  /**
   * @param instance - Id of the instance.
   * @param perSecond - Limit that the instance states.
   * @param nowMs - Current time.
   */
  constructor(private readonly instance: string, private perSecond: number, nowMs: number) {
    this.refilledAtMs = nowMs;
    this.latestSentAtMs = nowMs;
  }

  /** Gets the limit, in requests per second. */
  getPerSecond(): number {
    return this.perSecond;
  }

  /**
   * Changes the limit.
   * @param perSecond - Limit that the instance states now.
   * @param nowMs - Current time.
   */
  setPerSecond(perSecond: number, nowMs: number): void {
    this.refill(nowMs);
    this.perSecond = perSecond;
    this.tokens = Math.min(this.tokens, this.computeCapacity());
  }

  /** Counts the requests that this VM has sent since it knows of the limit. */
  countSent(): number {
    return this.sent;
  }

  /**
   * Computes the time since the latest request of this VM, or since it knows of the limit, in milliseconds.
   * @param nowMs - Current time.
   */
  computeIdleMs(nowMs: number): number {
    return nowMs - this.latestSentAtMs;
  }

  /**
   * Records a request of this VM.
   * @param nowMs - Current time.
   */
  recordSent(nowMs: number): void {
    this.take(1, nowMs);
    this.sent += 1;
    this.latestSentAtMs = nowMs;
    this.recentMs = [...this.recentMs.filter((atMs) => nowMs - atMs < NOTICE_DELAY_MS), nowMs];
  }

  /**
   * Records the number of requests that another VM has sent, as it reported it.
   * @param peer - Name of the other VM.
   * @param sent - Number of its requests since it knows of the limit; a smaller number than before shows that it began to count again.
   * @param nowMs - Current time.
   */
  recordPeerSent(peer: string, sent: number, nowMs: number): void {
    const known = this.peers.get(peer);
    // An earlier report that was overtaken; a VM that was started again is silent for longer.
    if (known !== undefined && sent < known.sent && nowMs - known.atMs < NOTICE_DELAY_MS) return;
    this.peers.set(peer, { sent, atMs: nowMs });
    if (known !== undefined) this.take(sent >= known.sent ? sent - known.sent : sent, nowMs);
    // A large first number was mostly sent before this VM knew of the limit.
    else if (sent <= this.computeCapacity()) this.take(sent, nowMs);
  }

  /**
   * Whether this VM may send a request now.
   * @param vm - Name of this VM.
   * @param activeVms - Names of the VMs that send requests, this one included.
   * @param nowMs - Current time.
   */
  canSend(vm: string, activeVms: readonly string[], nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens < 1) return false;
    const unknownSlack = this.getRate() + UNKNOWN_SLACK;
    const users = Math.min(activeVms.length, Math.floor(unknownSlack));
    const ownSlack = Math.max(1, Math.floor(unknownSlack / users));
    if (this.recentMs.filter((atMs) => nowMs - atMs < NOTICE_DELAY_MS).length >= ownSlack) return false;
    return activeVms.length === users || this.isUser(vm, activeVms, users);
  }

  // With more VMs than may each send a request unknown to the others, the same few use the instance.
  private isUser(vm: string, activeVms: readonly string[], users: number): boolean {
    const key = `${users} ${activeVms.join(' ')}`;
    if (this.ranked?.key !== key) {
      const ranked = core.places.RendezvousHash.rankItems(this.instance, activeVms, (name) => name);
      this.ranked = { key, own: ranked.indexOf(vm) < users ? 'user' : 'none' };
    }
    return this.ranked.own === 'user';
  }

  private take(count: number, nowMs: number): void {
    this.refill(nowMs);
    this.tokens = Math.max(this.tokens - count, -this.getRate() * MAX_DEBT_S - UNKNOWN_SLACK);
  }

  private refill(nowMs: number): void {
    this.tokens = Math.min(this.computeCapacity(), this.tokens + (this.getRate() * (nowMs - this.refilledAtMs)) / 1_000);
    this.refilledAtMs = nowMs;
  }

  private computeCapacity(): number {
    return Math.max(1, this.getRate() * MAX_SAVED_S);
  }

  private getRate(): number {
    return Math.max(MIN_RATE_PER_S, this.perSecond);
  }
}
