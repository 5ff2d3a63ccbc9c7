const MIN_BAD_INSTANCES_PER_PLACE = 2;

/** Health of one instance as observed by this VM and by VMs of other places. */
export interface InstanceHealthView {
  readonly place: string;
  /** Health according to the requests that this VM sent to the instance. `unknown`: too few recent requests. */
  readonly localHealth: 'good' | 'bad' | 'unknown';
  /**
   * `bad`: VMs of other places observe failures too, so the link of this VM is not the cause. `not-bad`: they observe none, or there is
   * no data.
   */
  readonly remoteHealth: 'bad' | 'not-bad';
}

/**
 * Detects faulty network links from this VM to places. A link is suspected if at least two instances of the place, and at least half of
 * those with known health, are bad for this VM only, and not all places are affected.
 */
export class LinkFaultDetector {
  /**
   * Lists the places whose network link from this VM is suspected.
   * @param instances - Health of all instances of a service, in all places.
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
