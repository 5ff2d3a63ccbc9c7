import type * as peerEvidence from './PeerEvidence.js';

/** Observations of this VM and reports of peers about one instance, as input of a `DetectionPolicy`. */
export interface InstanceHealth {
  /** Estimate from this VM's observations: 0 if they indicate no failure, greater if a failure is more likely. */
  readonly failureScore: number;
  /** Decayed counts of this VM's own attempts. */
  readonly good: number;
  readonly bad: number;
  /** Bad attempts since the last good one. */
  readonly consecutiveFailures: number;
  /** `mostly-timeouts`: nearly all bad attempts are time-outs, which the link may cause. */
  readonly failureKind: 'mostly-timeouts' | 'mixed';
  /** Combined counts that peers reported about the instance. */
  readonly peerAssessment: peerEvidence.PeerAssessment;
  /** Peers that have ejected the instance. */
  readonly peerEjections: number;
  /** Result of the last probe. `confirmed`: it failed or was slow, which confirms the suspicion. */
  readonly probeVerdict: 'confirmed' | 'healthy' | 'none';
  /** `degraded`: the error rate of all instances of the service together is high. */
  readonly poolState: 'normal' | 'degraded';
  /** `suspected`: the network to the place of the instance is probably the cause. */
  readonly link: 'good' | 'suspected';
  /** `trial`: reinstated after an ejection, with a reduced weight at first. */
  readonly ejection: 'in-service' | 'ejected' | 'trial';
  /** Time since the suspicion began, in milliseconds; 0 without one. */
  readonly suspectedForMs: number;
  /** Share of the instances that this VM has ejected. */
  readonly ejectedShare: number;
}
