// A VM that suspects an instance asks about it every second.
const LIFETIME_MS = 3_000;

/** Instances that other VMs suspect, known from their requests for evidence. */
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
   * Removes doubts that no peer has repeated.
   * @param nowMs - Current time, in milliseconds.
   */
  expire(nowMs: number): void {
    this.suspectedAtMs.forEach((atMs, name) => {
      if (nowMs - atMs >= LIFETIME_MS) this.suspectedAtMs.delete(name);
    });
  }

  /**
   * Whether a peer suspects an instance.
   * @param name - Name of the instance.
   */
  has(name: string): boolean {
    return this.suspectedAtMs.has(name);
  }
}
