import * as places from '../places/index.js';
import type * as instanceAddress from './InstanceAddress.js';

/**
 * Assigns each instance of a service to one VM of its fronting set (the VMs that callers of the service are sent to). This VM prefers
 * the instance. The assignment is even, and within a place where possible.
 *
 * Instances have few slots, and a VM has no record of the attempts of other VMs. If one VM sends most of the attempts to an instance,
 * it can determine from its own attempts whether a slot is free. Without preferences, 8 of 100 attempts at 38% load chose a full instance.
 */
export class InstancePreference {
  /**
   * Lists the names of the instances that a VM prefers. A VM outside the fronting set prefers none.
   * @param vm - Name of the VM.
   * @param fronting - VMs of the fronting set of the service.
   * @param instances - Instances of the service.
   */
  listPreferred(
    vm: string,
    fronting: readonly places.FrontingCandidate[],
    instances: readonly instanceAddress.InstanceAddress[],
  ): readonly string[] {
    const place = fronting.find((candidate) => candidate.name === vm)?.place;
    if (place === undefined) return [];
    // Instances in places without a VM of the fronting set are distributed over all its VMs.
    const frontedPlaces = new Set(fronting.map((candidate) => candidate.place));
    const samePlaceVms = fronting.filter((candidate) => candidate.place === place);
    const samePlaceInstances = instances.filter((each) => each.place === place);
    const unfrontedInstances = instances.filter((each) => !frontedPlaces.has(each.place));
    return [
      ...InstancePreference.listShare(vm, samePlaceVms, samePlaceInstances),
      ...InstancePreference.listShare(vm, fronting, unfrontedInstances),
    ];
  }

  private static listShare(
    vm: string,
    candidates: readonly places.FrontingCandidate[],
    instances: readonly instanceAddress.InstanceAddress[],
  ): readonly string[] {
    const key = instances[0]?.service ?? '';
    const order = places.RendezvousHash.rankItems(key, candidates, (candidate) => candidate.name);
    const position = order.findIndex((candidate) => candidate.name === vm);
    return places.RendezvousHash.rankItems(key, instances, (each) => each.name)
      .filter((_, index) => index % order.length === position)
      .map((each) => each.name);
  }
}
