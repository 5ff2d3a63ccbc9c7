const CAPACITY = 4_096;

/** Identifies one incarnation of an instance: a restarted or replaced instance has the same name and another incarnation. */
export interface InstanceIncarnation {
  readonly instance: string;
  readonly incarnation: string;
}

function buildKey(item: InstanceIncarnation): string {
  return `${item.instance}\n${item.incarnation}`;
}

/**
 * Incarnations of the instances of one service that are draining. An entry stays even if an outdated instance list of the platform still
 * contains the incarnation as live. Another incarnation of the same instance is a separate entry.
 */
export class DrainRecord {
  // In the order in which the first drain signals arrived.
  private readonly incarnations = new Map<string, InstanceIncarnation>();

  /**
   * Records that an incarnation is draining.
   * @param signalled - Incarnation named in a drain signal: a list entry, a notice of a peer, or an answer of the instance.
   * @returns `first` if this is the first signal about it, `known` if it was recorded before.
   */
  add(signalled: InstanceIncarnation): 'first' | 'known' {
    const key = buildKey(signalled);
    if (this.incarnations.has(key)) return 'known';
    this.incarnations.set(key, { instance: signalled.instance, incarnation: signalled.incarnation });
    return 'first';
  }

  /**
   * Checks whether an incarnation is draining.
   * @param candidate - Incarnation to look up.
   */
  has(candidate: InstanceIncarnation): boolean {
    return this.incarnations.has(buildKey(candidate));
  }

  /** Lists the incarnations that are draining. */
  list(): readonly InstanceIncarnation[] {
    return [...this.incarnations.values()];
  }

  /**
   * If there are more entries than the capacity, removes the oldest ones that are not in the latest instance list of the platform.
   * @param listed - Incarnations in that list.
   */
  prune(listed: readonly InstanceIncarnation[]): void {
    if (this.incarnations.size <= CAPACITY) return;
    const listedKeys = new Set(listed.map(buildKey));
    [...this.incarnations.keys()].filter((key) => !listedKeys.has(key)).slice(0, this.incarnations.size - CAPACITY)
      .forEach((key) => this.incarnations.delete(key));
  }
}
