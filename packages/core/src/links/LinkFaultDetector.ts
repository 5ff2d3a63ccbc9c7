const INSTANCES_MIN = 2;

/** How one instance looks from this VM. */
export interface InstanceHealthView {
  readonly place: string;
  /** `unknown`: no recent attempts. */
  readonly localHealth: 'good' | 'bad' | 'unknown';
  /** Whether VMs of other places find it bad as well, so that the link of this VM is not the cause. */
  readonly remoteHealth: 'bad' | 'not-bad';
}

/** Tells a faulty link from faulty instances: many instances of one place look bad from here, and other places look good. */
export class LinkFaultDetector {
  /**
   * Lists the places whose link is suspected.
   * @param sights - How the instances of a service look.
   */
  listSuspectedPlaces(sights: readonly InstanceHealthView[]): readonly string[] {
    const places = [...new Set(sights.map((sight) => sight.place))];
    const bad = places.filter((place) => this.isBad(sights.filter((sight) => sight.place === place)));
    // If all places look bad the cause is not one link.
    return bad.length < places.length ? bad : [];
  }

  private isBad(sights: readonly InstanceHealthView[]): boolean {
    const known = sights.filter((sight) => sight.localHealth !== 'unknown');
    const bad = known.filter((sight) => sight.localHealth === 'bad' && sight.remoteHealth === 'not-bad');
    return bad.length >= INSTANCES_MIN && bad.length * 2 >= known.length;
  }
}
