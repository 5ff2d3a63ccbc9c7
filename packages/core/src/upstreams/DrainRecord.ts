const CAPACITY = 4_096;

/** Incarnation of an instance. */
export interface InstanceIncarnation {
  readonly instance: string;
  readonly incarnation: string;
}

function buildKey(item: InstanceIncarnation): string {
  return `${item.instance}\n${item.incarnation}`;
}

/** Incarnations of a service that are known to leave. A stale list cannot clear them; another incarnation is another entry. */
export class DrainRecord {
  // In the order of the first signal.
  private readonly leaving = new Map<string, InstanceIncarnation>();

  /**
   * Records that an incarnation leaves.
   * @param leaving - Incarnation that gave a drain signal.
   * @returns Whether this is its first signal.
   */
  add(leaving: InstanceIncarnation): 'first' | 'known' {
    const key = buildKey(leaving);
    if (this.leaving.has(key)) return 'known';
    this.leaving.set(key, { instance: leaving.instance, incarnation: leaving.incarnation });
    return 'first';
  }

  /**
   * Checks whether an incarnation is known to leave.
   * @param each - Incarnation to look up.
   */
  has(candidate: InstanceIncarnation): boolean {
    return this.leaving.has(buildKey(candidate));
  }

  /** Lists the incarnations that are known to leave. */
  list(): readonly InstanceIncarnation[] {
    return [...this.leaving.values()];
  }

  /**
   * Evicts the oldest entries above the capacity, but none that the list still names.
   * @param listed - Incarnations of the latest list.
   */
  prune(listed: readonly InstanceIncarnation[]): void {
    if (this.leaving.size <= CAPACITY) return;
    const kept = new Set(listed.map(buildKey));
    [...this.leaving.keys()].filter((key) => !kept.has(key)).slice(0, this.leaving.size - CAPACITY)
      .forEach((key) => this.leaving.delete(key));
  }
}
