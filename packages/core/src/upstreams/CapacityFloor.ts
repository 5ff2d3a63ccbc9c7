import type * as instance from './Instance.js';
import type * as peerSuspicions from './PeerSuspicions.js';
import type * as peerEjections from './PeerEjections.js';

/** Input of the check against the floor, the minimum number of healthy instances in rotation. */
export interface FloorCheckInput {
  readonly instances: readonly instance.Instance[];
  /** Instances that peers have ejected. */
  readonly peerEjections: peerEjections.PeerEjections;
  /** Instances that peers suspect; this VM may have too few observations of its own about an instance that other VMs prefer. */
  readonly peerSuspicions: peerSuspicions.PeerSuspicions;
  /** Floor that the contract of the service declares. */
  readonly floorInstances: number;
  /** Current time, in milliseconds. */
  readonly nowMs: number;
}

/** Prevents ejections that would leave fewer healthy instances of a service than its floor. */
export class CapacityFloor {
  /**
   * Counts the healthy instances: listed, live, warm, in service, not suspected, with a good link, and not ejected by any peer.
   * @param input - State of the service.
   */
  countEligible(input: FloorCheckInput): number {
    return input.instances.filter((each) => this.isEligible(each, input)).length;
  }

  /**
   * Checks whether an instance may be ejected.
   * @param candidate - Instance to eject.
   * @param input - State of the service.
   */
  canEject(candidate: instance.Instance, input: FloorCheckInput): boolean {
    // An instance that a peer suspects cannot replace the ejected one. `listReinstatements` ignores such suspicions, because they are
    // too weak a reason to end an existing ejection.
    const others = input.instances.filter((each) => each !== candidate && this.isEligible(each, input));
    // An instance without a recent on-time answer to this VM may have a gray failure; counting such instances as healthy violated the
    // floor on a VM that was cut off from the others.
    const confirmedHealthy = others.filter((each) => !input.peerSuspicions.has(each.address.name) && each.isConfirmedHealthy(input.nowMs));
    return confirmedHealthy.length >= this.getFloor(input);
  }

  /**
   * Lists the ejected instances to reinstate while the floor is violated, those with the lowest failure score first.
   * @param input - State of the service.
   * @returns All ejected instances if the floor is violated, none otherwise.
   */
  listReinstatements(input: FloorCheckInput): readonly instance.Instance[] {
    const ejected = input.instances.filter((each) => each.state === 'live' && each.ejection.getState() === 'ejected');
    if (ejected.length === 0) return [];
    // A reinstated instance is on trial first and does not count as healthy yet, so all ejected instances are reinstated.
    return this.countEligible(input) >= this.getFloor(input) ? []
      : ejected.sort((left, right) => left.observations.getFailureScore() - right.observations.getFailureScore());
  }

  // At least one instance must remain, also when the contract declares no floor.
  private getFloor(input: FloorCheckInput): number {
    return Math.max(1, input.floorInstances);
  }

  private isEligible(target: instance.Instance, input: FloorCheckInput): boolean {
    return target.listing === 'listed' && target.state === 'live' && target.warmupState === 'warm' && target.ejection.getState() === 'in-service'
      && target.suspicion === 'none' && target.link === 'good' && input.peerEjections.count(target.address.name) === 0;
  }
}
