import type * as attemptEnding from './AttemptEnding.js';
import type * as durationSamples from './DurationSamples.js';
import type * as instanceEvidence from './InstanceEvidence.js';
import * as grayFailureEstimator from './GrayFailureEstimator.js';
import type * as instanceRecord from './InstanceRecord.js';

// Reports of load describe the past; after this time nothing of one is left.
const LOAD_REPORT_LIFETIME_MS = 600;

// VMs repeat what they have in flight within this time; one that is silent for longer is gone.
const PEER_LOAD_LIFETIME_MS = 2_500;

interface PeerLoad {
  readonly inFlight: number;
  readonly atMs: number;
}

interface InFlightAttempt {
  readonly sentAtMs: number;
  readonly durations: durationSamples.DurationSamples;
}

/** One instance with the requests of this VM in flight at it and the evidence about it. */
export class PooledInstance {
  private readonly inFlight = new Map<string, InFlightAttempt>();

  private estimator: grayFailureEstimator.GrayFailureEstimator;

  private otherVmsLoad = 0;

  private readonly peerLoads = new Map<string, PeerLoad>();

  private loadReportedAtMs = -Infinity;

  private lastSentAtMs: number;

  private warmupEndsAtMs: number;

  /**
   * @param record - What the instance published.
   * @param nowMs - Time of the reading.
   */
  constructor(private record: instanceRecord.InstanceRecord, nowMs: number) {
    this.warmupEndsAtMs = nowMs + record.warmupMs;
    this.estimator = new grayFailureEstimator.GrayFailureEstimator(nowMs);
    this.lastSentAtMs = nowMs;
  }

  /** Gets what the instance published. */
  getRecord(): instanceRecord.InstanceRecord {
    return this.record;
  }

  /**
   * Takes a newer entry. A restarted process keeps nothing of the evidence of the one before.
   * @param record - What the instance published.
   * @param nowMs - Time of the reading.
   */
  update(record: instanceRecord.InstanceRecord, nowMs: number): void {
    const previous = this.record;
    this.record = record;
    this.warmupEndsAtMs = nowMs + record.warmupMs;
    if (previous.startedAtMs === record.startedAtMs && previous.host === record.host && previous.port === record.port) return;
    this.estimator = new grayFailureEstimator.GrayFailureEstimator(nowMs);
    this.otherVmsLoad = 0;
  }

  /**
   * Begins an attempt.
   * @param attemptId - Id of the attempt.
   * @param nowMs - Present time.
   * @param durations - Durations of the route.
   */
  beginAttempt(attemptId: string, nowMs: number, durations: durationSamples.DurationSamples): void {
    this.inFlight.set(attemptId, { sentAtMs: nowMs, durations });
    this.lastSentAtMs = nowMs;
  }

  /**
   * Ends an attempt and takes its result as evidence.
   * @param attemptId - Id of the attempt.
   * @param ending - How it ended.
   * @param nowMs - Present time.
   */
  endAttempt(attemptId: string, ending: attemptEnding.AttemptEnding, nowMs: number): void {
    const attempt = this.inFlight.get(attemptId);
    if (attempt === undefined) return;
    this.inFlight.delete(attemptId);
    if ((ending.type === 'answered' || ending.type === 'not-run') && ending.load !== undefined) this.recordLoad(ending.load, nowMs);
    const survival = attempt.durations.estimateSurvival(nowMs - attempt.sentAtMs);
    switch (ending.type) {
      case 'answered':
        if (ending.answer.status >= 500) this.estimator.recordFailure(nowMs);
        else {
          this.estimator.recordSuccess(survival, nowMs);
          attempt.durations.record(nowMs - attempt.sentAtMs);
        }
        break;
      case 'not-run':
        break;
      case 'cancelled':
        this.estimator.recordNoResponse(survival, nowMs);
        break;
      default:
        this.estimator.recordFailure(nowMs);
        break;
    }
  }

  /**
   * Takes what another VM knows of the instance.
   * @param peer - Name of the VM.
   * @param told - What it told.
   * @param nowMs - Present time.
   */
  recordPeerEvidence(peer: string, evidence: Pick<instanceEvidence.InstanceEvidence, 'deviation' | 'inFlight'>, nowMs: number): void {
    this.estimator.recordPeerEvidence(peer, evidence.deviation, nowMs);
    if (evidence.inFlight > 0) this.peerLoads.set(peer, { inFlight: evidence.inFlight, atMs: nowMs });
    else this.peerLoads.delete(peer);
  }

  /**
   * Computes the log odds above the prior that the instance is gray, from the requests of this VM only.
   * @param nowMs - Present time.
   */
  computeDeviation(nowMs: number): number {
    return this.estimator.computeDeviation(this.sumNoResponseLogRatios(nowMs), nowMs);
  }

  /** Counts the attempts of this VM in flight. */
  countInFlight(): number {
    return this.inFlight.size;
  }

  /**
   * Estimates the requests at the instance, those of other VMs included.
   * @param nowMs - Present time.
   */
  estimateLoad(nowMs: number): number {
    const reportWeight = Math.max(0, 1 - (nowMs - this.loadReportedAtMs) / LOAD_REPORT_LIFETIME_MS);
    return this.inFlight.size + Math.max(this.otherVmsLoad * reportWeight, this.sumPeerLoads(nowMs));
  }

  /**
   * Estimates the probability that a request sent now gets no good answer.
   * @param nowMs - Present time.
   */
  estimateFailureProbability(nowMs: number): number {
    return this.estimator.estimateFailureProbability(this.sumNoResponseLogRatios(nowMs), nowMs);
  }

  /**
   * Whether it is still slow after its start.
   * @param nowMs - Present time.
   */
  isWarming(nowMs: number): boolean {
    return nowMs < this.warmupEndsAtMs;
  }

  /**
   * Computes the time since this VM last sent it a request or learned of it, in milliseconds.
   * @param nowMs - Present time.
   */
  computeIdleMs(nowMs: number): number {
    return nowMs - this.lastSentAtMs;
  }

  private sumPeerLoads(nowMs: number): number {
    let sum = 0;
    // A loop, since this runs for each instance and request.
    this.peerLoads.forEach((load) => {
      if (nowMs - load.atMs <= PEER_LOAD_LIFETIME_MS) sum += load.inFlight;
    });
    return sum;
  }

  private sumNoResponseLogRatios(nowMs: number): number {
    let sum = 0;
    // A loop, since this runs for each instance and request.
    this.inFlight.forEach((attempt) => {
      const survival = attempt.durations.estimateSurvival(nowMs - attempt.sentAtMs);
      if (survival < 1) sum += Math.max(0, grayFailureEstimator.GrayFailureEstimator.computeNoResponseLogRatio(survival));
    });
    return sum;
  }

  private recordLoad(load: attemptEnding.ReportedLoad, nowMs: number): void {
    this.otherVmsLoad = Math.max(0, load.running + load.waiting - this.inFlight.size);
    this.loadReportedAtMs = nowMs;
  }
}
