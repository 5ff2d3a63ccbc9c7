import type * as contracts from '../contracts/index.js';
import type * as links from '../links/index.js';
import type * as randomness from '../randomness/index.js';
import type * as capacityFloor from './CapacityFloor.js';
import type * as detectionPolicy from './DetectionPolicy.js';
import type * as observationGate from './ObservationGate.js';
import type * as instance from './Instance.js';
import * as peerSuspicions from './PeerSuspicions.js';
import * as peerEjections from './PeerEjections.js';
import type * as peerEvidence from './PeerEvidence.js';
import type * as poolBaseline from './PoolBaseline.js';
import type * as probeSchedule from './ProbeSchedule.js';
import type * as slowStart from './SlowStart.js';
import type * as instanceHealth from './InstanceHealth.js';
import type * as upstreamRules from './UpstreamRules.js';

// From this failure score on, an instance counts as bad in the check of links.
const BAD_FAILURE_SCORE = 3;

// With a smaller decayed count of attempts, the condition of an instance is unknown.
const KNOWN_ATTEMPTS_MIN = 0.5;

const MOSTLY_TIMEOUTS_SHARE = 0.8;

// Ejections made in this time before a link becomes suspected were probably caused by the link, so they are ended.
const LINK_REINSTATE_MS = 10_000;

// An instance with a reduced weight gets few attempts that can show a fault, so its weight rises slowly unless peers find it good.
const WEIGHT_RISE_MS = 60_000;

// Used if peers find the instance good.
const CONTRADICTED_WEIGHT_RISE_MS = 4_000;

// VMs that violated the floor by ejecting at the same time wait for random times, so that they do not eject together again.
const EJECTION_PAUSE_MIN_MS = 2_000;

const EJECTION_PAUSE_SPREAD_MS = 3_000;

/** Options of a `PoolHealthEvaluator`. */
export interface PoolHealthEvaluatorOptions {
  readonly rules: upstreamRules.UpstreamRules;
  readonly contract: contracts.ServiceContract;
  /** Place of this VM. */
  readonly place: string;
  readonly random: randomness.RandomSource;
}

/** Evaluates the health of all instances of one service (its pool): sets their weights, and ejects and reinstates them. */
export class PoolHealthEvaluator {
  readonly observationGate: observationGate.ObservationGate;

  readonly peerEvidence: peerEvidence.PeerEvidence;

  readonly peerEjections = new peerEjections.PeerEjections();

  readonly peerSuspicions = new peerSuspicions.PeerSuspicions();

  readonly probes: probeSchedule.ProbeSchedule;

  private readonly options: PoolHealthEvaluatorOptions;

  private readonly floor: capacityFloor.CapacityFloor;

  private readonly links: links.LinkFaultDetector;

  private readonly baseline: poolBaseline.PoolBaseline;

  private readonly slowStart: slowStart.SlowStart;

  private policy: detectionPolicy.DetectionPolicy;

  private contract: contracts.ServiceContract;

  private ejectionPauseEndMs = -Infinity;

  private frontingRole: 'fronting' | 'outside' = 'fronting';

  /** @param options - Rules, contract, place and random source. */
  constructor(options: PoolHealthEvaluatorOptions) {
    const { rules, contract } = options;
    this.options = options;
    this.contract = contract;
    this.policy = rules.createDetectionPolicy(contract.detection);
    this.observationGate = rules.createObservationGate();
    this.floor = rules.createFloor();
    this.links = rules.createLinkFaultDetector();
    this.baseline = rules.createPoolBaseline();
    this.slowStart = rules.createSlowStart();
    this.probes = rules.createProbeSchedule();
    this.peerEvidence = rules.createPeerEvidence(options.place);
  }

  /**
   * Applies a new contract.
   * @param contract - Contract of the service.
   */
  setContract(contract: contracts.ServiceContract): void {
    if (contract.detection !== this.contract.detection) this.policy = this.options.rules.createDetectionPolicy(contract.detection);
    this.contract = contract;
  }

  /**
   * Sets whether this VM belongs to the fronting set of the service, the VMs that its callers are sent to. Outside of it, a VM has no
   * record of the suspicions of others and too few attempts to determine which instances are healthy, so it only reduces weights.
   * @param frontingRole - `fronting` if this VM belongs to the set.
   */
  setFrontingRole(frontingRole: 'fronting' | 'outside'): void {
    this.frontingRole = frontingRole;
  }

  /**
   * Reinstates the ejected instances if the floor is violated. To be called after each change of instances or ejections.
   * @param instances - All instances of the service.
   * @param nowMs - Current time, in milliseconds.
   */
  checkFloor(instances: readonly instance.Instance[], nowMs: number): void {
    const reinstated = this.floor.listReinstatements(this.buildFloorInput(instances, nowMs));
    if (reinstated.length === 0) return;
    reinstated.forEach((each) => this.reinstate(each, nowMs));
    this.ejectionPauseEndMs = nowMs + EJECTION_PAUSE_MIN_MS + this.options.random.drawInteger(EJECTION_PAUSE_SPREAD_MS);
  }

  /**
   * Evaluates the observations and reports of a period, and updates weights, suspicions and ejections.
   * @param instances - All instances of the service.
   * @param nowMs - Current time, in milliseconds.
   * @param elapsedMs - Time since the last evaluation, in milliseconds.
   */
  evaluate(instances: readonly instance.Instance[], nowMs: number, elapsedMs: number): void {
    this.peerEvidence.expire(nowMs);
    this.peerEjections.expire(nowMs);
    this.peerSuspicions.expire(nowMs);
    instances.forEach((each) => {
      each.setRamp(this.slowStart.computeRamp(each.coldSinceMs, nowMs));
      each.ejection.update(nowMs);
      if (each.ejection.isEjectionOver(nowMs)) this.reinstate(each, nowMs);
    });
    instances.forEach((each) => each.observations.updateCounts(elapsedMs, each.ejection.getState()));
    const ratios = this.baseline.computeLikelihoodRatios(instances);
    this.baseline.updateSlowThresholds(instances);
    instances.forEach((each) => each.observations.updateFailureScore(ratios, elapsedMs));
    const assessments = instances.map((each) => this.peerEvidence.merge(each.address.name, each.address.incarnation, ratios));
    this.updateLinks(instances, assessments, nowMs);
    const ejected = instances.filter((each) => each.ejection.getState() === 'ejected').length;
    const healths = instances.map((each, index) => this.describe({
      target: each, peerAssessment: assessments[index]!, poolState: ratios.state, ejectedShare: ejected / instances.length, nowMs,
    }));
    instances.forEach((each, index) => this.updateWeight(each, healths[index]!, nowMs, elapsedMs));
    this.ejectUnhealthy(instances, healths, nowMs);
    this.checkFloor(instances, nowMs);
  }

  private updateLinks(instances: readonly instance.Instance[], assessments: readonly peerEvidence.PeerAssessment[], nowMs: number): void {
    const suspected = this.links.listSuspectedPlaces(instances.map(({ address, observations }, index) => {
      const attempts = observations.window.good + observations.window.bad;
      const healthIfNotBad = attempts < KNOWN_ATTEMPTS_MIN ? 'unknown' : 'good';
      return {
        place: address.place,
        localHealth: observations.getFailureScore() >= BAD_FAILURE_SCORE ? 'bad' : healthIfNotBad,
        remoteHealth: assessments[index]!.otherPlaces === 'agrees' ? 'bad' : 'not-bad',
      };
    }));
    instances.forEach((each) => {
      const link = suspected.includes(each.address.place) ? 'suspected' : 'good';
      const recent = nowMs - each.ejection.getChangedAtMs() < LINK_REINSTATE_MS;
      if (link === 'suspected' && each.link === 'good' && recent && each.ejection.getState() === 'ejected') this.reinstate(each, nowMs);
      each.markLink(link);
    });
  }

  private describe(input: {
    readonly target: instance.Instance;
    readonly peerAssessment: peerEvidence.PeerAssessment;
    readonly poolState: 'normal' | 'degraded';
    readonly ejectedShare: number;
    readonly nowMs: number;
  }): instanceHealth.InstanceHealth {
    const { target } = input;
    const { observations } = target;
    return {
      failureScore: observations.getFailureScore(),
      good: observations.window.good,
      bad: observations.window.bad,
      consecutiveFailures: observations.getConsecutiveFailures(),
      failureKind: observations.getTimeoutShare() >= MOSTLY_TIMEOUTS_SHARE ? 'mostly-timeouts' : 'mixed',
      peerAssessment: input.peerAssessment,
      peerEjections: this.peerEjections.count(target.address.name),
      probeVerdict: this.probes.getResult(target, input.nowMs),
      poolState: input.poolState,
      link: target.link,
      ejection: target.ejection.getState(),
      suspectedForMs: Math.max(0, input.nowMs - target.suspectedSinceMs),
      ejectedShare: input.ejectedShare,
    };
  }

  private updateWeight(target: instance.Instance, health: instanceHealth.InstanceHealth, nowMs: number, elapsedMs: number): void {
    const riseMs = health.peerAssessment.verdict === 'contradicts' ? CONTRADICTED_WEIGHT_RISE_MS : WEIGHT_RISE_MS;
    const weight = Math.min(this.policy.computeWeight(health), target.healthWeight + elapsedMs / riseMs);
    target.setHealthWeight(weight);
    target.setSuspicion(this.policy.isSuspected(health) ? 'suspected' : 'none', nowMs);
    target.setWeight(Math.min(weight, target.ejection.computeTrialWeight(nowMs), this.slowStart.computeRamp(target.coldSinceMs, nowMs)));
    if (weight < 1) target.setReason(this.formatReason(health));
  }

  private ejectUnhealthy(instances: readonly instance.Instance[], healths: readonly instanceHealth.InstanceHealth[], nowMs: number): void {
    if (!this.observationGate.isOpen() || this.frontingRole === 'outside' || nowMs < this.ejectionPauseEndMs) return;
    const input = this.buildFloorInput(instances, nowMs);
    instances.map((each, index) => ({ target: each, health: healths[index]! }))
      .filter((candidate) => candidate.target.isInRotation() && this.policy.decide(candidate.health) === 'eject')
      .sort((left, right) => right.health.failureScore - left.health.failureScore)
      .forEach((candidate) => {
        if (!this.floor.canEject(candidate.target, input)) return;
        const { ejection } = candidate.target;
        ejection.eject(nowMs, this.policy.computeEjectionMs(ejection.getEjectionCount()));
        candidate.target.setReason(this.formatReason(candidate.health));
      });
  }

  private buildFloorInput(instances: readonly instance.Instance[], nowMs: number): capacityFloor.FloorCheckInput {
    return {
      instances,
      peerEjections: this.peerEjections,
      peerSuspicions: this.peerSuspicions,
      floorInstances: this.contract.floorInstances,
      nowMs,
    };
  }

  private reinstate(target: instance.Instance, nowMs: number): void {
    const trialScore = this.policy.computeTrialFailureScore(Math.max(1, target.ejection.getEjectionCount()));
    target.ejection.reinstate(nowMs, trialScore === undefined ? 'in-service' : 'trial');
    target.observations.reset(trialScore ?? 0);
    target.setWeight(target.ejection.computeTrialWeight(nowMs));
  }

  private formatReason(health: instanceHealth.InstanceHealth): string {
    if (health.link === 'suspected') return 'link to its place suspected';
    const attempts = Math.round(health.good + health.bad);
    return `${Math.round(health.bad)} of ${attempts} recent attempts were bad`;
  }
}
