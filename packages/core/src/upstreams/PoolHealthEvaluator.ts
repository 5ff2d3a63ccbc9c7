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

const BAD_LOOK_SCORE = 3;

const KNOWN_ATTEMPTS = 0.5;

const SILENT_SHARE = 0.8;

// Ejections made shortly before a link is suspected were caused by the link.
const LINK_REINSTATE_MS = 10_000;

// Steering takes away the attempts that would show the fault again, so weights rise slowly unless peers find the instance good.
const WEIGHT_RISE_MS = 60_000;

const CLEARED_WEIGHT_RISE_MS = 4_000;

// VMs that ejected at the same time wait for different times, so that they do not repeat it together.
const HOLD_MIN_MS = 2_000;

const HOLD_SPREAD_MS = 3_000;

/** Options of a `PoolHealth`. */
export interface PoolHealthEvaluatorOptions {
  readonly rules: upstreamRules.UpstreamRules;
  readonly contract: contracts.ServiceContract;
  /** Place of this VM. */
  readonly place: string;
  readonly random: randomness.RandomSource;
}

/** Decides from the evidence about all instances of a service which are steered around, ejected and reinstated. */
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

  private holdUntilMs = -Infinity;

  private standing: 'fronting' | 'outside' = 'fronting';

  /** @param options - Rules, contract and surroundings. */
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
   * Sets whether this VM belongs to the fronting set of the service. Outside of it a VM hears no doubts of the others and
   * sees too few attempts to know which instances would remain, so it steers but ejects nothing.
   * @param standing - Where this VM stands.
   */
  setFrontingRole(standing: 'fronting' | 'outside'): void {
    this.standing = standing;
  }

  /**
   * Reinstates ejected instances while the floor is not met. To be called whenever the instances or ejections change.
   * @param instances - All instances of the service.
   * @param nowMs - Current time, in milliseconds.
   */
  checkFloor(instances: readonly instance.Instance[], nowMs: number): void {
    const excess = this.floor.listReinstatements(this.buildFloorView(instances, nowMs));
    if (excess.length === 0) return;
    excess.forEach((each) => this.reinstate(each, nowMs));
    this.holdUntilMs = nowMs + HOLD_MIN_MS + this.options.random.drawInteger(HOLD_SPREAD_MS);
  }

  /**
   * Evaluates the evidence of a period.
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
      each.ejection.expire(nowMs);
      if (each.ejection.isEjectionOver(nowMs)) this.reinstate(each, nowMs);
    });
    instances.forEach((each) => each.observations.updateCounts(elapsedMs, each.ejection.getState()));
    const rates = this.baseline.computeLikelihoodRatios(instances);
    this.baseline.updateSlowThresholds(instances);
    instances.forEach((each) => each.observations.updateFailureScore(rates, elapsedMs));
    const pooled = instances.map((each) => this.peerEvidence.merge(each.address.name, each.address.incarnation, rates));
    this.updateLinks(instances, pooled, nowMs);
    const ejected = instances.filter((each) => each.ejection.getState() === 'ejected').length;
    const known = instances.map((each, index) => this.describe({
      each, pooled: pooled[index]!, pool: rates.state, ejectedShare: ejected / instances.length, nowMs,
    }));
    instances.forEach((each, index) => this.steer(each, known[index]!, nowMs, elapsedMs));
    this.ejectProven(instances, known, nowMs);
    this.checkFloor(instances, nowMs);
  }

  private updateLinks(instances: readonly instance.Instance[], pooled: readonly peerEvidence.PeerAssessment[], nowMs: number): void {
    const suspected = this.links.listSuspectedPlaces(instances.map(({ address, observations: evidence }, index) => {
      const attempts = evidence.window.good + evidence.window.bad;
      const localHealth = attempts < KNOWN_ATTEMPTS ? 'unknown' : 'good';
      return {
        place: address.place,
        localHealth: evidence.getFailureScore() >= BAD_LOOK_SCORE ? 'bad' : localHealth,
        remoteHealth: pooled[index]!.otherPlaces === 'agrees' ? 'bad' : 'not-bad',
      };
    }));
    instances.forEach((each) => {
      const link = suspected.includes(each.address.place) ? 'suspected' : 'good';
      const recent = nowMs - each.ejection.getChangedAtMs() < LINK_REINSTATE_MS;
      if (link === 'suspected' && each.link === 'good' && recent && each.ejection.getState() === 'ejected') this.reinstate(each, nowMs);
      each.markLink(link);
    });
  }

  private describe(view: {
    readonly each: instance.Instance;
    readonly pooled: peerEvidence.PeerAssessment;
    readonly pool: 'normal' | 'degraded';
    readonly ejectedShare: number;
    readonly nowMs: number;
  }): instanceHealth.InstanceHealth {
    const { each } = view;
    const { observations: evidence } = each;
    return {
      failureScore: evidence.getFailureScore(),
      good: evidence.window.good,
      bad: evidence.window.bad,
      consecutiveFailures: evidence.getConsecutiveFailures(),
      failureKind: evidence.getTimeoutShare() >= SILENT_SHARE ? 'mostly-silent' : 'answering',
      peerAssessment: view.pooled,
      peerEjections: this.peerEjections.count(each.address.name),
      probeResult: this.probes.getResult(each, view.nowMs),
      poolState: view.pool,
      link: each.link,
      ejection: each.ejection.getState(),
      suspectedForMs: Math.max(0, view.nowMs - each.suspectedSinceMs),
      ejectedShare: view.ejectedShare,
    };
  }

  private steer(each: instance.Instance, known: instanceHealth.InstanceHealth, nowMs: number, elapsedMs: number): void {
    const riseMs = known.peerAssessment.verdict === 'contradicts' ? CLEARED_WEIGHT_RISE_MS : WEIGHT_RISE_MS;
    const weight = Math.min(this.policy.computeWeight(known), each.healthWeight + elapsedMs / riseMs);
    each.setHealthWeight(weight);
    each.setSuspicion(this.policy.isSuspect(known) ? 'suspected' : 'none', nowMs);
    each.setWeight(Math.min(weight, each.ejection.computeTrialWeight(nowMs), this.slowStart.computeRamp(each.coldSinceMs, nowMs)));
    if (weight < 1) each.setReason(this.formatReason(known));
  }

  private ejectProven(instances: readonly instance.Instance[], known: readonly instanceHealth.InstanceHealth[], nowMs: number): void {
    if (!this.observationGate.isOpen() || this.standing === 'outside' || nowMs < this.holdUntilMs) return;
    const view = this.buildFloorView(instances, nowMs);
    instances.map((each, index) => ({ each, known: known[index]! }))
      .filter((candidate) => candidate.each.isInRotation() && this.policy.decide(candidate.known) === 'eject')
      .sort((left, right) => right.known.failureScore - left.known.failureScore)
      .forEach((candidate) => {
        if (!this.floor.canEject(candidate.each, view)) return;
        const { ejection } = candidate.each;
        ejection.eject(nowMs, this.policy.computeEjectionMs(ejection.getEjectionCount()));
        candidate.each.setReason(this.formatReason(candidate.known));
      });
  }

  private buildFloorView(instances: readonly instance.Instance[], nowMs: number): capacityFloor.FloorCheckInput {
    return {
      instances, peerEjections: this.peerEjections, peerSuspicions: this.peerSuspicions, floorInstances: this.contract.floorInstances, nowMs,
    };
  }

  private reinstate(each: instance.Instance, nowMs: number): void {
    const trialScore = this.policy.computeTrialFailureScore(Math.max(1, each.ejection.getEjectionCount()));
    each.ejection.reinstate(nowMs, trialScore === undefined ? 'in-service' : 'trial');
    each.observations.reset(trialScore ?? 0);
    each.setWeight(each.ejection.computeTrialWeight(nowMs));
  }

  private formatReason(known: instanceHealth.InstanceHealth): string {
    if (known.link === 'suspected') return 'link to its place suspected';
    const attempts = Math.round(known.good + known.bad);
    return `${Math.round(known.bad)} of ${attempts} recent attempts were bad`;
  }
}
