import * as concurrencyLimit from './ConcurrencyLimit.js';
import * as ejectionState from './EjectionState.js';
import * as observationWindow from './ObservationWindow.js';
import type * as instanceAddress from './InstanceAddress.js';
import * as loadEstimate from './LoadEstimate.js';
import type * as upstreamMessage from './UpstreamMessage.js';

const LATENCY_WEIGHT = 0.1;

const NEGLIGIBLE_FAILURE_SCORE = 0.5;

const HEALTHY_FAILURE_SCORE_MAX = 2;

// A VM sends a few attempts to each instance in this time, also to those that other VMs prefer.
const CONFIRMED_HEALTHY_MS = 15_000;

/** Options of an `Instance`. */
export interface InstanceOptions {
  readonly address: instanceAddress.InstanceAddress;
  readonly limit: concurrencyLimit.ConcurrencyLimit;
  /** Time at which a cold instance was first listed; -Infinity for a warm one. */
  readonly coldSinceMs: number;
}

/** One incarnation of an upstream instance, as this VM sees it. */
export class Instance {
  address: instanceAddress.InstanceAddress;

  readonly limit: concurrencyLimit.ConcurrencyLimit;

  readonly coldSinceMs: number;

  readonly load = new loadEstimate.LoadEstimate();

  readonly observations = new observationWindow.ObservationWindow();

  readonly ejection = new ejectionState.EjectionState();

  /** `retained`: missing from the list, which is not trusted. `removed`: only attempts in flight refer to it. */
  listing: 'listed' | 'retained' | 'removed' = 'listed';

  state: 'live' | 'leaving' = 'live';

  warmupState: 'cold' | 'warm';

  // Share of weight and limit that a cold instance has reached.
  private ramp = 1;

  /** Whether this VM's evidence, alone or pooled, raises doubt. */
  suspicion: 'none' | 'suspected' = 'none';

  /** Whether the evidence points to the way to the place of the instance. */
  link: 'good' | 'suspected' = 'good';

  /** Part of the weight that the evidence leaves, between 0 and 1. */
  healthWeight = 1;

  /** Weight between 0 and 1 in the random choice. */
  weight = 1;

  inFlight = 0;

  /** Mean latency of answers, in milliseconds; 0 if unknown. */
  latencyMs = 0;

  /** Time of the last answer that was served, in milliseconds. */
  lastAnswerAtMs = -Infinity;

  private lastOnTimeAtMs = -Infinity;

  suspectedSinceMs = Infinity;

  /** Reason of the last ejection or steering. */
  reason = '';

  /** @param options - Address, limit and first listing. */
  constructor(options: InstanceOptions) {
    this.address = options.address;
    this.limit = options.limit;
    this.coldSinceMs = options.coldSinceMs;
    this.warmupState = options.coldSinceMs === -Infinity ? 'warm' : 'cold';
  }

  /** Marks that the instance leaves; it gets no new work. */
  markLeaving(): void {
    this.state = 'leaving';
  }

  /**
   * Marks where the instance stands with the list.
   * @param listing - New state.
   */
  markListing(listing: Instance['listing']): void {
    this.listing = listing;
  }

  /**
   * Marks whether the link to the place of the instance is suspected.
   * @param link - New state.
   */
  markLink(link: Instance['link']): void {
    this.link = link;
  }

  /**
   * Sets the part of the weight that the evidence leaves.
   * @param steering - Part between 0 and 1.
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
   * Sets the reason of the last ejection or steering.
   * @param reason - Reason for the status page.
   */
  setReason(reason: string): void {
    this.reason = reason;
  }

  /**
   * Marks the instance as suspected or not.
   * @param suspicion - New state.
   * @param nowMs - Current time, in milliseconds.
   */
  setSuspicion(suspicion: Instance['suspicion'], nowMs: number): void {
    this.suspicion = suspicion;
    this.suspectedSinceMs = suspicion === 'suspected' ? Math.min(this.suspectedSinceMs, nowMs) : Infinity;
  }

  /** Takes a slot for an attempt or a probe. */
  takeSlot(): void {
    this.inFlight += 1;
  }

  /** Releases a slot. */
  releaseSlot(): void {
    this.inFlight -= 1;
  }

  /**
   * Sets how far a cold instance has come.
   * @param ramp - Share of its weight and limit, between 0 and 1.
   */
  setRamp(ramp: number): void {
    this.ramp = ramp;
    this.warmupState = ramp < 1 ? 'cold' : 'warm';
  }

  /** Gets the attempts that may be in flight now; the ramp bounds new connections to a cold instance. */
  getCurrentLimit(): number {
    const limit = this.limit.getLimit();
    return this.ramp === 1 ? limit : Math.max(1, Math.floor(limit * this.ramp));
  }

  /** Whether the instance may get new work. */
  isInRotation(): boolean {
    return this.state === 'live' && this.ejection.getState() !== 'ejected';
  }

  /** Whether time alone may change what is decided about the instance. */
  needsEvaluation(): boolean {
    return this.weight < 1 || this.warmupState === 'cold' || this.listing === 'retained' || this.suspicion === 'suspected'
      || this.ejection.getState() !== 'in-service' || this.ejection.getEjectionCount() > 0 || this.observations.getFailureScore() >= NEGLIGIBLE_FAILURE_SCORE;
  }

  /** Whether a probe may tell something: the instance is ejected, or this VM has evidence of its own against it. */
  needsProbe(): boolean {
    return this.ejection.getState() === 'ejected' || this.observations.getFailureScore() >= NEGLIGIBLE_FAILURE_SCORE;
  }

  /** Whether the instance has a slot left for this VM. */
  hasFreeSlot(): boolean {
    return this.inFlight < this.getCurrentLimit();
  }

  /**
   * Scores the instance for a comparison with another; the lower score is better.
   * @param nowMs - Current time, in milliseconds.
   */
  computeLoadScore(nowMs: number): number {
    // The latency counts by its root: it already shows in the attempts in flight.
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
   * Records an answer that was on time.
   * @param nowMs - Current time, in milliseconds.
   */
  recordOnTime(nowMs: number): void {
    this.lastOnTimeAtMs = nowMs;
  }

  /**
   * Whether recent attempts of this VM show that the instance serves well.
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
