import type * as core from '@tamarackferry/core';

/** Service of a fake deployment: its contract and how its fake instances behave. */
export interface ServicePlan {
  readonly contract: core.contracts.ServiceContract;
  readonly instances: number;
  /** Mean time for which a request of each kind holds a slot, in milliseconds. */
  readonly serviceTimeMs: ReadonlyMap<string, number>;
  /** What an instance does with requests beyond its slots. */
  readonly overload: 'shed' | 'queue';
  /** Whether an instance confirms that a cancelled request did not run. */
  readonly cancellation: 'confirmed' | 'silent';
}

/** Open-loop arrivals of one kind of request of one member. */
export interface LoadPlan {
  readonly member: string;
  readonly service: string;
  readonly kind: string;
  readonly perSecond: number;
}

/** One-way delays of a fake deployment. */
export interface LatencyPlan {
  readonly placesMs: number;
  readonly callersMs: number;
  readonly jitterMs: number;
}

/** Fake deployment: what its document declares and what surrounds it. */
export interface DeploymentPlan {
  readonly name: string;
  readonly vms: number;
  readonly places: readonly core.places.Place[];
  readonly services: readonly ServicePlan[];
  readonly members: readonly core.contracts.MemberContract[];
  readonly loads: readonly LoadPlan[];
  readonly latency: LatencyPlan;
  /** Time at which the loads begin, in milliseconds. */
  readonly loadFromMs: number;
}
