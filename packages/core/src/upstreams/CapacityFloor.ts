import type * as instance from './Instance.js';
import type * as peerSuspicions from './PeerSuspicions.js';
import type * as peerEjections from './PeerEjections.js';

/** State that the floor of a service is checked against. */
export interface FloorCheckInput {
  readonly instances: readonly instance.Instance[];
  readonly peerEjections: peerEjections.PeerEjections;
  /** Suspicions of peers; this VM may have too little evidence of its own about an instance that others prefer. */
  readonly peerSuspicions: peerSuspicions.PeerSuspicions;
  readonly floorInstances: number;
  /** Current time, in milliseconds. */
  readonly nowMs: number;
}

/** Keeps ejections from reducing the healthy instances of a service below its floor. */
export class CapacityFloor {
  /**
   * Counts the instances whose capacity is beyond doubt.
   * @param view - Instances, ejections of peers, and floor.
   */
  countHealthy(input: FloorCheckInput): number {
    return input.instances.filter((each) => this.isHealthy(each, input)).length;
  }

  /**
   * Checks whether an instance may be ejected.
   * @param candidate - Instance to eject.
   * @param view - Instances, ejections of peers, and floor.
   */
  canEject(candidate: instance.Instance, input: FloorCheckInput): boolean {
    // A peer's doubt forbids to count on an instance, but is too weak to end an ejection that was made before.
    const others = input.instances.filter((each) => each !== candidate && this.isHealthy(each, input));
    // An instance that this VM has not seen serve lately may be gray; counting on it broke the floor of a VM that was cut off.
    const confirmed = others.filter((each) => !input.peerSuspicions.has(each.address.name) && each.isConfirmedHealthy(input.nowMs));
    return confirmed.length >= this.getFloor(input);
  }

  /**
   * Lists the ejected instances to reinstate, least suspect first, until the floor is met again.
   * @param view - Instances, ejections of peers, and floor.
   */
  listReinstatements(input: FloorCheckInput): readonly instance.Instance[] {
    const ejected = input.instances.filter((each) => each.state === 'live' && each.ejection.getState() === 'ejected');
    if (ejected.length === 0) return [];
    // A reinstated instance is on trial and counts only later, so the floor needs all of them.
    return this.countHealthy(input) >= this.getFloor(input) ? []
      : ejected.sort((left, right) => left.observations.getFailureScore() - right.observations.getFailureScore());
  }

  // The last instance in service stays, also when the contract has no floor.
  private getFloor(input: FloorCheckInput): number {
    return Math.max(1, input.floorInstances);
  }

  private isHealthy(each: instance.Instance, input: FloorCheckInput): boolean {
    return each.listing === 'listed' && each.state === 'live' && each.warmupState === 'warm' && each.ejection.getState() === 'in-service'
      && each.suspicion === 'none' && each.link === 'good' && input.peerEjections.count(each.address.name) === 0;
  }
}
