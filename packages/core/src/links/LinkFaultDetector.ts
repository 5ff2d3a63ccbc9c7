const MIN_BAD_INSTANCES = 2;

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
  listSuspectedPlaces(instances: readonly InstanceHealthView[]): readonly string[] {
    const places = [...new Set(instances.map((instance) => instance.place))];
    const suspected = places.filter((place) => this.isSuspected(instances.filter((instance) => instance.place === place)));
    // If all places look bad the cause is not one link.
    return suspected.length < places.length ? suspected : [];
  }

  private isSuspected(instances: readonly InstanceHealthView[]): boolean {
    const known = instances.filter((instance) => instance.localHealth !== 'unknown');
    const bad = known.filter((instance) => instance.localHealth === 'bad' && instance.remoteHealth === 'not-bad');
    return bad.length >= MIN_BAD_INSTANCES && bad.length * 2 >= known.length;
  }
}
