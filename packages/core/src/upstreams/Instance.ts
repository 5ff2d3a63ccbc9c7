import * as concurrencyLimit from './ConcurrencyLimit.js';
import * as ejectionState from './EjectionState.js';
import * as observationWindow from './ObservationWindow.js';
import type * as instanceAddress from './InstanceAddress.js';
import * as loadEstimate from './LoadEstimate.js';
import type * as upstreamMessage from './UpstreamMessage.js';

// Weight of the newest answer in the exponential moving average of the latency.
const LATENCY_WEIGHT = 0.1;

const NEGLIGIBLE_FAILURE_SCORE = 0.5;

const HEALTHY_FAILURE_SCORE_MAX = 2;

// A VM sends a few attempts to each instance in this time, also to those that other VMs prefer.
const CONFIRMED_HEALTHY_MS = 15_000;

/** Options of an `Instance`. */
export interface InstanceOptions {
  readonly address: instanceAddress.InstanceAddress;
  readonly limit: concurrencyLimit.ConcurrencyLimit;
  /** Time at which a cold instance was first listed, in milliseconds; -Infinity for an instance that needs no warm-up. */
  readonly coldSinceMs: number;
}

/** State that this VM has recorded about one incarnation of an upstream instance. */
export class Instance {
  address: instanceAddress.InstanceAddress;

  /** Limit on the attempts of this VM in flight at the instance. */
  readonly limit: concurrencyLimit.ConcurrencyLimit;

  /** Time at which a cold instance was first listed, in milliseconds; -Infinity for an instance that needs no warm-up. */
  readonly coldSinceMs: number;

  /** Estimate of the slots that other VMs use. */
  readonly load = new loadEstimate.LoadEstimate();

  readonly observations = new observationWindow.ObservationWindow();

  readonly ejection = new ejectionState.EjectionState();

  /**
   * `listed`: named by the latest list of instances. `retained`: missing from the list, but still in use. `removed`: out of use; only
   * attempts in flight still refer to it.
   */
  listing: 'listed' | 'retained' | 'removed' = 'listed';

  /** `leaving`: draining, so that it gets no new attempts. */
  state: 'live' | 'leaving' = 'live';

  /** `cold`: recently started, with reduced weight and limit during its slow start. */
  warmupState: 'cold' | 'warm';

  // Share of the full weight and limit during the slow start, between 0 and 1.
  private ramp = 1;

  /** `suspected`: the detection policy suspects the instance of a failure. */
  suspicion: 'none' | 'suspected' = 'none';

  /** Network between this VM and the place of the instance. `suspected`: it is probably the cause of the failures. */
  link: 'good' | 'suspected' = 'good';

  /** Limit on the weight that the detection policy sets, between 0 and 1. */
  healthWeight = 1;

  /** Weight in the random choice, between 0 and 1: the least of the health weight, the trial weight and the ramp of the slow start. */
  weight = 1;

  /** Number of attempts and probes of this VM in flight at the instance. */
  inFlight = 0;

  /** Exponential moving average of the latency of answers, in milliseconds; 0 before the first answer. */
  latencyMs = 0;

  /** Time of the last complete answer, on time or late, in milliseconds. */
  lastAnswerAtMs = -Infinity;

  private lastOnTimeAtMs = -Infinity;

  /** Time at which the current suspicion began, in milliseconds; Infinity without one. */
  suspectedSinceMs = Infinity;

  /** Reason for the last ejection or reduction of the weight; empty if there was none. */
  reason = '';

  /** @param options - Address, concurrency limit and time of the first listing. */
  constructor(options: InstanceOptions) {
    this.address = options.address;
    this.limit = options.limit;
    this.coldSinceMs = options.coldSinceMs;
    this.warmupState = options.coldSinceMs === -Infinity ? 'warm' : 'cold';
  }

  /** Marks the instance as draining; it gets no new attempts. */
  markLeaving(): void {
    this.state = 'leaving';
  }

  /**
   * Sets whether the instance is listed, retained or removed.
   * @param listing - New state.
   */
  markListing(listing: Instance['listing']): void {
    this.listing = listing;
  }

  /**
   * Sets whether the link to the place of the instance is suspected.
   * @param link - New state.
   */
  markLink(link: Instance['link']): void {
    this.link = link;
  }

  /**
   * Sets the limit on the weight that follows from the health of the instance.
   * @param healthWeight - Weight between 0 and 1.
   */
  setHealthWeight(healthWeight: number): void {
    this.healthWeight = healthWeight;
  }

  /**
   * Sets the weight in the random choice.
   * @param weight - Weight between 0 and 1.
   */
  setWeight(weight: number): void {
    this.weight = weight;
  }

  /**
   * Sets the reason for the last ejection or reduction of the weight.
   * @param reason - Text for the status page.
   */
  setReason(reason: string): void {
    this.reason = reason;
  }

  /**
   * Sets whether the instance is suspected. The time at which a suspicion began stays the same until it ends.
   * @param suspicion - New state.
   * @param nowMs - Current time, in milliseconds.
   */
  setSuspicion(suspicion: Instance['suspicion'], nowMs: number): void {
    this.suspicion = suspicion;
    this.suspectedSinceMs = suspicion === 'suspected' ? Math.min(this.suspectedSinceMs, nowMs) : Infinity;
  }

  /** Occupies a slot for an attempt or a probe. */
  takeSlot(): void {
    this.inFlight += 1;
  }

  /** Releases the slot of an attempt or a probe that ended. */
  releaseSlot(): void {
    this.inFlight -= 1;
  }

  /**
   * Sets the progress of the slow start. The instance is warm from 1 on.
   * @param ramp - Share of the full weight and limit, between 0 and 1.
   */
  setRamp(ramp: number): void {
    this.ramp = ramp;
    this.warmupState = ramp < 1 ? 'cold' : 'warm';
  }

  /** Gets the number of attempts that may be in flight now. The slow start reduces it, which also bounds new connections. */
  getCurrentLimit(): number {
    const limit = this.limit.getLimit();
    return this.ramp === 1 ? limit : Math.max(1, Math.floor(limit * this.ramp));
  }

  /** Whether the instance may get new attempts: it is neither draining nor ejected. */
  isInRotation(): boolean {
    return this.state === 'live' && this.ejection.getState() !== 'ejected';
  }

  /** Whether the weight or state of the instance may change with time alone, so that periodic evaluation must continue. */
  needsEvaluation(): boolean {
    return this.weight < 1 || this.warmupState === 'cold' || this.listing === 'retained' || this.suspicion === 'suspected'
      || this.ejection.getState() !== 'in-service' || this.ejection.getEjectionCount() > 0
      || this.observations.getFailureScore() >= NEGLIGIBLE_FAILURE_SCORE;
  }

  /** Whether a probe is useful: the instance is ejected, or this VM has observed failures of it. */
  needsProbe(): boolean {
    return this.ejection.getState() === 'ejected' || this.observations.getFailureScore() >= NEGLIGIBLE_FAILURE_SCORE;
  }

  /** Whether this VM may start another attempt at the instance within its current limit. */
  hasFreeSlot(): boolean {
    return this.inFlight < this.getCurrentLimit();
  }

  /**
   * Computes a score to compare the load of instances; the instance with the lower score is preferred.
   * @param nowMs - Current time, in milliseconds.
   */
  computeLoadScore(nowMs: number): number {
    // Only the square root of the latency is used, because a slow instance has more attempts in flight already.
    return ((this.inFlight + this.load.estimate(nowMs) + 1) / this.getCurrentLimit()) * Math.sqrt(Math.max(1, this.latencyMs));
  }

  /**
   * Records the latency of an answer.
   * @param latencyMs - Latency, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  recordLatency(latencyMs: number, nowMs: number): void {
    this.latencyMs += this.latencyMs === 0 ? latencyMs : LATENCY_WEIGHT * (latencyMs - this.latencyMs);
    this.lastAnswerAtMs = nowMs;
  }

  /**
   * Records that an answer arrived on time.
   * @param nowMs - Current time, in milliseconds.
   */
  recordOnTime(nowMs: number): void {
    this.lastOnTimeAtMs = nowMs;
  }

  /**
   * Checks whether the instance answered this VM on time recently and has a low failure score.
   * @param nowMs - Current time, in milliseconds.
   */
  isConfirmedHealthy(nowMs: number): boolean {
    return nowMs - this.lastOnTimeAtMs <= CONFIRMED_HEALTHY_MS && this.observations.getFailureScore() < HEALTHY_FAILURE_SCORE_MAX;
  }

  /** Gets the state for the status page. */
  getStatus(): upstreamMessage.InstanceStatus {
    return {
      name: this.address.name,
      place: this.address.place,
      state: this.getState(),
      weight: this.isInRotation() ? this.weight : 0,
      inFlight: this.inFlight,
      reason: this.reason,
    };
  }

  private getState(): upstreamMessage.InstanceStatus['state'] {
    if (this.state === 'leaving') return 'leaving';
    if (this.ejection.getState() !== 'in-service') return this.ejection.getState() as 'ejected' | 'trial';
    if (this.warmupState === 'cold') return 'warming';
    return this.weight < 1 ? 'steered' : 'in-service';
  }
}
