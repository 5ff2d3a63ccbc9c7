import type * as requestKind from './RequestKind.js';

/** Name of a detection policy that a document may declare. The last three are baselines for comparison in measurements. */
export type DetectionPolicyName = 'cautious' | 'prompt' | 'no-ejection' | 'consecutive-errors' | 'outlier-percentage';

/** Declares a service: its capacity, its request kinds and the guarantees of its upstreams. */
export interface ServiceContract {
  readonly name: string;
  /** Minimum number of instances that stay in rotation when instances are ejected. */
  readonly floorInstances: number;
  /** Number of requests that one instance serves concurrently. */
  readonly slotsPerInstance: number;
  /** Number of connections that one instance accepts from all VMs together. */
  readonly connectionsPerInstance: number;
  readonly detection: DetectionPolicyName;
  /** Whether upstreams echo the request id in their answers. */
  readonly requestIdEcho: 'echoed' | 'absent';
  /** Whether upstreams mark the answers to requests that they did not run with the `tamarack-not-run` header. */
  readonly notRunAnswers: 'declared' | 'absent';
  /** Whether upstreams send a `content-digest` header by which answers are verified. */
  readonly answerDigest: 'sent' | 'absent';
  readonly kinds: readonly requestKind.RequestKind[];
}
