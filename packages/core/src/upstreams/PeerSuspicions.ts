// A VM that suspects an instance repeats its request for evidence every 1 to 2 s while the suspicion lasts.
const LIFETIME_MS = 3_000;

/** Instances of one service that other VMs suspect, which is known from their requests for evidence about these instances. */
export class PeerSuspicions {
  private readonly suspectedAtMs = new Map<string, number>();

  /**
   * Records that a peer suspects instances.
   * @param instances - Names of the instances.
   * @param nowMs - Current time, in milliseconds.
   */
  record(instances: readonly string[], nowMs: number): void {
    instances.forEach((name) => this.suspectedAtMs.set(name, nowMs));
  }

  /**
   * Removes suspicions that no peer has repeated within their lifetime.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    this.suspectedAtMs.forEach((atMs, name) => {
      if (nowMs - atMs >= LIFETIME_MS) this.suspectedAtMs.delete(name);
    });
  }

  /**
   * Checks whether any peer suspects an instance.
   * @param name - Name of the instance.
   */
  has(name: string): boolean {
    return this.suspectedAtMs.has(name);
  }
}
