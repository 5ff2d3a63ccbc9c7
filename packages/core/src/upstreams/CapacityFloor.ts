import type * as instance from './Instance.js';
import type * as peerSuspicions from './PeerSuspicions.js';
import type * as peerEjections from './PeerEjections.js';

/** State of a service that `CapacityFloor` checks against the floor, the minimum number of instances at full weight. */
export interface FloorCheckInput {
  readonly instances: readonly instance.Instance[];
  /** Instances that peers have ejected. */
  readonly peerEjections: peerEjections.PeerEjections;
  /**
   * Instances that peers suspect. This VM may have sent them too few attempts to suspect them itself, because each VM sends most of its
   * attempts to the instances that it prefers.
   */
  readonly peerSuspicions: peerSuspicions.PeerSuspicions;
  /** Floor that the contract of the service declares. */
  readonly floorInstances: number;
  /** Current time, in milliseconds. */
  readonly nowMs: number;
}

/** Prevents ejections that would leave a service fewer instances than its floor. */
export class CapacityFloor {
  /**
   * Counts the instances that are eligible for the floor: those at full weight that neither this VM nor a peer has reason to avoid.
   * @param input - State of the service.
   */
  countEligible(input: FloorCheckInput): number {
    return input.instances.filter((each) => this.isEligible(each, input)).length;
  }

  /**
   * Checks whether an instance may be ejected: enough other instances must be eligible and confirmed healthy.
   * @param candidate - Instance that the detection policy wants to eject.
   * @param input - State of the service.
   */
  canEject(candidate: instance.Instance, input: FloorCheckInput): boolean {
    const others = input.instances.filter((each) => each !== candidate && this.isEligible(each, input));
    // Only instances that recently answered this VM on time count, because others may have a gray failure. Without this check, a VM that
    // was partitioned from its peers ejected too many instances. Instances that a peer suspects do not count here either, but they do in
    // `listReinstatements`: the suspicion of a peer alone must not end an ejection.
    const confirmedHealthy = others.filter((each) => !input.peerSuspicions.has(each.address.name) && each.isConfirmedHealthy(input.nowMs));
    return confirmedHealthy.length >= this.getFloor(input);
  }

  /**
   * Lists the ejected instances to reinstate.
   * @param input - State of the service.
   * @returns All ejected instances, lowest failure score first, if fewer instances than the floor are eligible; otherwise none.
   */
  listReinstatements(input: FloorCheckInput): readonly instance.Instance[] {
    const ejected = input.instances.filter((each) => each.state === 'live' && each.ejection.getState() === 'ejected');
    if (ejected.length === 0) return [];
    // A reinstated instance is on trial and not eligible at first, so reinstating only the missing number would not end the violation.
    return this.countEligible(input) >= this.getFloor(input) ? []
      : ejected.sort((left, right) => left.observations.getFailureScore() - right.observations.getFailureScore());
  }

  // At least one instance must remain, also when the contract declares no floor.
  private getFloor(input: FloorCheckInput): number {
    return Math.max(1, input.floorInstances);
  }

  private isEligible(target: instance.Instance, input: FloorCheckInput): boolean {
    return target.listing === 'listed' && target.state === 'live' && target.warmupState === 'warm'
      && target.ejection.getState() === 'in-service' && target.suspicion === 'none' && target.link === 'good'
      && input.peerEjections.count(target.address.name) === 0;
  }
}
