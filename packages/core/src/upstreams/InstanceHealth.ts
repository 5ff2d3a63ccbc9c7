import type * as peerEvidence from './PeerEvidence.js';

/** What is known about one instance when a policy decides about it. */
export interface InstanceHealth {
  /** Cumulative sum of this VM's own evidence. */
  readonly failureScore: number;
  /** Decayed counts of this VM's own attempts. */
  readonly good: number;
  readonly bad: number;
  readonly consecutiveFailures: number;
  /** `mostly-silent`: nearly all bad attempts are time-outs, which the link may cause. */
  readonly failureKind: 'mostly-timeouts' | 'mixed';
  readonly peerAssessment: peerEvidence.PeerAssessment;
  /** Peers that have ejected the instance. */
  readonly peerEjections: number;
  /** What the last probe says. */
  readonly probeResult: 'confirmed' | 'healthy' | 'none';
  readonly poolState: 'normal' | 'degraded';
  readonly link: 'good' | 'suspected';
  readonly ejection: 'in-service' | 'ejected' | 'trial';
  /** Time since the suspicion began, in milliseconds; 0 without one. */
  readonly suspectedForMs: number;
  /** Share of the instances that this VM has ejected. */
  readonly ejectedShare: number;
}
