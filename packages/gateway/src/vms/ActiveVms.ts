// A VM sends evidence several times a second while it has requests in flight. It counts as active for this time after it did.
const ACTIVE_SPAN_MS = 2_500;

/** VMs that send requests to instances now: those that lately sent evidence, and this one. */
export class ActiveVms {
  private readonly seenAtMs = new Map<string, number>();

  // Names of the active VMs, and the time until which none of them becomes inactive.
  private names: readonly string[];

  private validUntilMs = Infinity;

  /** @param vm - Name of this VM. */
  constructor(private readonly vm: string) {
    this.names = [vm];
  }

  /** Gets the name of this VM. */
  getOwnName(): string {
    return this.vm;
  }

  /**
   * Records that another VM has sent evidence.
   * @param name - Name of the other VM.
   * @param nowMs - Current time.
   */
  record(name: string, nowMs: number): void {
    const isNew = !this.seenAtMs.has(name);
    this.seenAtMs.set(name, nowMs);
    if (isNew) this.updateNames(nowMs);
  }

  /**
   * Lists the active VMs in the order of their names.
   * @param nowMs - Current time.
   */
  listNames(nowMs: number): readonly string[] {
    if (nowMs > this.validUntilMs) this.updateNames(nowMs);
    return this.names;
  }

  private updateNames(nowMs: number): void {
    this.seenAtMs.forEach((atMs, name) => {
      if (nowMs - atMs > ACTIVE_SPAN_MS) this.seenAtMs.delete(name);
    });
    this.names = [this.vm, ...this.seenAtMs.keys()].sort();
    this.validUntilMs = Math.min(Infinity, ...this.seenAtMs.values()) + ACTIVE_SPAN_MS;
  }
}
