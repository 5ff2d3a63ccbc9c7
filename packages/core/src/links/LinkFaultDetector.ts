const MIN_BAD_INSTANCES_PER_PLACE = 2;

/** Health of one instance for this VM. */
export interface InstanceHealthView {
  readonly place: string;
  /** Health according to the attempts of this VM. `unknown`: too few recent attempts. */
  readonly localHealth: 'good' | 'bad' | 'unknown';
  /** Health according to VMs of other places. `bad`: they observe failures too, so the link of this VM is not the cause. */
  readonly remoteHealth: 'bad' | 'not-bad';
}

/** Distinguishes a faulty link from faulty instances: many instances of one place are bad for this VM only, and other places are good. */
export class LinkFaultDetector {
  /**
   * Lists the places to which the link of this VM is suspected to be faulty.
   * @param instances - Health of the instances of a service.
   */
  listSuspectedPlaces(instances: readonly InstanceHealthView[]): readonly string[] {
    const places = [...new Set(instances.map((instance) => instance.place))];
    const suspected = places.filter((place) => this.isPlaceSuspected(instances.filter((instance) => instance.place === place)));
    // If all places are bad, the cause is not a single link.
    return suspected.length < places.length ? suspected : [];
  }

  private isPlaceSuspected(instances: readonly InstanceHealthView[]): boolean {
    const measured = instances.filter((instance) => instance.localHealth !== 'unknown');
    const bad = measured.filter((instance) => instance.localHealth === 'bad' && instance.remoteHealth === 'not-bad');
    return bad.length >= MIN_BAD_INSTANCES_PER_PLACE && bad.length * 2 >= measured.length;
  }
}
