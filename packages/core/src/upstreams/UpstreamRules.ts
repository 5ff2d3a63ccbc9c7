import type * as contracts from '../contracts/index.js';
import * as links from '../links/index.js';
import type * as randomness from '../randomness/index.js';
import * as capacityFloor from './CapacityFloor.js';
import * as cautiousDetectionPolicy from './CautiousDetectionPolicy.js';
import * as consecutiveErrorsPolicy from './ConsecutiveErrorsPolicy.js';
import type * as detectionPolicy from './DetectionPolicy.js';
import * as drainRecord from './DrainRecord.js';
import * as observationGate from './ObservationGate.js';
import * as instanceChooser from './InstanceChooser.js';
import * as instancePreference from './InstancePreference.js';
import * as instanceRetentionPolicy from './InstanceRetentionPolicy.js';
import * as noEjectionPolicy from './NoEjectionPolicy.js';
import * as outlierPercentagePolicy from './OutlierPercentagePolicy.js';
import * as peerEvidence from './PeerEvidence.js';
import * as poolBaseline from './PoolBaseline.js';
import * as probeSchedule from './ProbeSchedule.js';
import * as promptDetectionPolicy from './PromptDetectionPolicy.js';
import * as slowStart from './SlowStart.js';

const POLICIES: Readonly<Record<contracts.DetectionPolicyName, new () => detectionPolicy.DetectionPolicy>> = {
  cautious: cautiousDetectionPolicy.CautiousDetectionPolicy,
  prompt: promptDetectionPolicy.PromptDetectionPolicy,
  'no-ejection': noEjectionPolicy.NoEjectionPolicy,
  'consecutive-errors': consecutiveErrorsPolicy.ConsecutiveErrorsPolicy,
  'outlier-percentage': outlierPercentagePolicy.OutlierPercentagePolicy,
};

/** Factory of the replaceable parts of an `UpstreamTask`. A subclass overrides single methods to replace single parts. */
export class UpstreamRules {
  /**
   * Creates the detection policy that a contract declares.
   * @param name - Name in the contract.
   */
  createDetectionPolicy(name: contracts.DetectionPolicyName): detectionPolicy.DetectionPolicy {
    return new POLICIES[name]();
  }

  /**
   * Creates the object that chooses the instance for an attempt.
   * @param random - Source of the random choice.
   */
  createChooser(random: randomness.RandomSource): instanceChooser.InstanceChooser {
    return new instanceChooser.InstanceChooser(random);
  }

  /** Creates the assignment of instances to the VMs that prefer them. */
  createPreference(): instancePreference.InstancePreference {
    return new instancePreference.InstancePreference();
  }

  /**
   * Creates the record of the evidence that peers report.
   * @param place - Place of this VM.
   */
  createPeerEvidence(place: string): peerEvidence.PeerEvidence {
    return new peerEvidence.PeerEvidence(place);
  }

  /** Creates the check that prevents ejections below the floor. */
  createFloor(): capacityFloor.CapacityFloor {
    return new capacityFloor.CapacityFloor();
  }

  /** Creates the record of draining incarnations. */
  createDrainRecord(): drainRecord.DrainRecord {
    return new drainRecord.DrainRecord();
  }

  /** Creates the policy for instances that vanish from the list. */
  createRetentionPolicy(): instanceRetentionPolicy.InstanceRetentionPolicy {
    return new instanceRetentionPolicy.InstanceRetentionPolicy();
  }

  /** Creates the gate that discards the observations of a VM whose timers fire late. */
  createObservationGate(): observationGate.ObservationGate {
    return new observationGate.ObservationGate();
  }

  /** Creates the detector that distinguishes a faulty link from faulty instances. */
  createLinkFaultDetector(): links.LinkFaultDetector {
    return new links.LinkFaultDetector();
  }

  /** Creates the baseline of the pool with which single instances are compared. */
  createPoolBaseline(): poolBaseline.PoolBaseline {
    return new poolBaseline.PoolBaseline();
  }

  /** Creates the slow start of cold instances. */
  createSlowStart(): slowStart.SlowStart {
    return new slowStart.SlowStart();
  }

  /** Creates the schedule of probes. */
  createProbeSchedule(): probeSchedule.ProbeSchedule {
    return new probeSchedule.ProbeSchedule();
  }
}
