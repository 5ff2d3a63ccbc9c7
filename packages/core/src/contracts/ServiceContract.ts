import type * as requestKind from './RequestKind.js';

/** Name of a detection policy that a document may declare. The last three are baselines for measurement. */
export type DetectionPolicyName = 'cautious' | 'prompt' | 'no-ejection' | 'consecutive-errors' | 'outlier-percentage';

/** Declares a service: its capacity, its request kinds and what its upstreams promise. */
export interface ServiceContract {
  readonly name: string;
  /** Number of instances that must stay in service when instances are ejected. */
  readonly floorInstances: number;
  /** Requests that one instance serves at the same time. */
  readonly slotsPerInstance: number;
  /** Connections that one instance accepts over all VMs. */
  readonly connectionsPerInstance: number;
  readonly detection: DetectionPolicyName;
  /** Whether upstreams echo the request id in their answers. */
  readonly requestIdEcho: 'echoed' | 'absent';
  /** Whether upstreams declare answers as not run by the `tamarack-not-run` header. */
  readonly notRunAnswers: 'declared' | 'absent';
  /** Whether upstreams send a `content-digest` header to check answers against. */
  readonly answerDigest: 'sent' | 'absent';
  readonly kinds: readonly requestKind.RequestKind[];
}
