import type * as attemptEnding from './AttemptEnding.js';
import type * as durationSamples from './DurationSamples.js';
import type * as instanceEvidence from './InstanceEvidence.js';
import * as requestLimit from './RequestLimit.js';
import * as grayFailureEstimator from './GrayFailureEstimator.js';
import type * as instanceRecord from './InstanceRecord.js';
import type * as instanceStatement from './InstanceStatement.js';

// A load report becomes outdated quickly: its weight falls to zero within this time.
const LOAD_REPORT_LIFETIME_MS = 600;

// VMs resend their number of requests in flight more often than this. The number is ignored if a VM has not done so for this time.
const PEER_LOAD_LIFETIME_MS = 2_500;

// Age at which an evaluation is computed again although nothing has happened at the instance: the evidence of requests in flight grows, and
// other evidence decays, much more slowly than this.
const EVALUATION_LIFETIME_MS = 40;

/** Health and load of an instance, as far as this VM knows. */
export interface InstanceEvaluation {
  /** Probability that a request sent now gets no successful answer. */
  readonly failure: number;
  /** Number of requests at the instance, including those of other VMs. */
  readonly load: number;
}

// The other VMs are told of a limit for this time after a request of this VM, and of its end for this time.
const LIMIT_EVIDENCE_LIFETIME_MS = 5_000;

// Requests in flight are overdue if they have been without a response for longer than about half of the answers take.
const MAX_OVERDUE_LOG_RATIO = 0.5;

interface PeerLoad {
  readonly inFlight: number;
  readonly atMs: number;
}

interface InFlightAttempt {
  readonly sentAtMs: number;
  readonly durations: durationSamples.DurationSamples;
}

/** Instance of a service, with the requests of this VM in flight at it and what is known about its health and load. */
export class PooledInstance {
  private readonly inFlight = new Map<string, InFlightAttempt>();

  private limit: requestLimit.RequestLimit | undefined;

  // Time at which the attempt was sent whose answer contains the latest statement about a limit. Answers arrive in another order than that
  // in which their requests were sent.
  private limitStatedAtMs = -Infinity;

  private limitEndedAtMs = -Infinity;

  private estimator: grayFailureEstimator.GrayFailureEstimator;

  // Requests of other VMs at the instance, according to its latest load report.
  private otherVmsLoad = 0;

  // Requests in flight of each other VM at the instance, as that VM reported them.
  private readonly peerLoads = new Map<string, PeerLoad>();

  private loadReportedAtMs = -Infinity;

  // Time at which a VM is known to have sent it a request last.
  private lastUsedAtMs: number;

  private warmupEndsAtMs: number;

  // Latest evaluation and its time; the time is -Infinity after an event at the instance.
  private evaluation: InstanceEvaluation = { failure: 0, load: 0 };

  private evaluatedAtMs = -Infinity;

  /**
   * @param record - Published record of the instance.
   * @param nowMs - Current time.
   */
  constructor(private record: instanceRecord.InstanceRecord, nowMs: number) {
    this.warmupEndsAtMs = nowMs + record.warmupMs;
    this.estimator = new grayFailureEstimator.GrayFailureEstimator(nowMs);
    this.lastUsedAtMs = nowMs;
  }

  /** Gets the published record of the instance. */
  getRecord(): instanceRecord.InstanceRecord {
    return this.record;
  }

  /**
   * Applies a newer record. If it describes another process or address, what was recorded about the previous one is discarded.
   * @param record - Published record of the instance.
   * @param nowMs - Current time.
   */
  update(record: instanceRecord.InstanceRecord, nowMs: number): void {
    const previous = this.record;
    this.evaluatedAtMs = -Infinity;
    this.record = record;
    this.warmupEndsAtMs = nowMs + record.warmupMs;
    if (previous.startedAtMs === record.startedAtMs && previous.host === record.host && previous.port === record.port) return;
    this.estimator = new grayFailureEstimator.GrayFailureEstimator(nowMs);
    this.otherVmsLoad = 0;
    // Statements of the previous process do not bind the new one, also those that arrive later.
    this.limit = undefined;
    this.limitStatedAtMs = nowMs;
    this.limitEndedAtMs = -Infinity;
  }

  /**
   * Records the start of an attempt.
   * @param attemptId - Id of the attempt.
   * @param nowMs - Current time.
   * @param durations - Durations of the answers of its route.
   */
  beginAttempt(attemptId: string, nowMs: number, durations: durationSamples.DurationSamples): void {
    this.inFlight.set(attemptId, { sentAtMs: nowMs, durations });
    this.evaluatedAtMs = -Infinity;
    this.lastUsedAtMs = nowMs;
    this.limit?.recordSent(nowMs);
  }

  /**
   * Records the end of an attempt and what its result shows about the instance.
   * @param attemptId - Id of the attempt.
   * @param ending - How it ended.
   * @param nowMs - Current time.
   */
  endAttempt(attemptId: string, ending: attemptEnding.AttemptEnding, nowMs: number): void {
    const attempt = this.inFlight.get(attemptId);
    if (attempt === undefined) return;
    this.inFlight.delete(attemptId);
    this.evaluatedAtMs = -Infinity;
    if ((ending.type === 'answered' || ending.type === 'not-run') && ending.statement.load !== undefined) this.recordLoad(ending.statement.load, nowMs);
    if (ending.type === 'answered' || ending.type === 'not-run') this.recordLimit(ending.statement.limit, attempt.sentAtMs, nowMs);
    const survival = attempt.durations.estimateSurvival(nowMs - attempt.sentAtMs);
    switch (ending.type) {
      case 'answered':
        if (ending.answer.status >= 500) this.estimator.recordFailure('server-error', nowMs);
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
        this.estimator.recordFailure('broken-connection', nowMs);
        break;
    }
  }

  /**
   * Records the evidence of another VM about the instance.
   * @param peer - Name of the other VM.
   * @param evidence - Evidence as received.
   * @param nowMs - Current time.
   */
  recordPeerEvidence(
    peer: string,
    evidence: Pick<instanceEvidence.InstanceEvidence, 'deviation' | 'inFlight' | 'limit'>,
    nowMs: number,
  ): void {
    if (evidence.limit !== undefined) this.recordPeerLimit(peer, evidence.limit, nowMs);
    this.estimator.recordPeerEvidence(peer, evidence.deviation, nowMs);
    this.evaluatedAtMs = -Infinity;
    if (evidence.inFlight > 0) {
      this.peerLoads.set(peer, { inFlight: evidence.inFlight, atMs: nowMs });
      this.lastUsedAtMs = nowMs;
    } else this.peerLoads.delete(peer);
  }

  /**
   * Computes the log odds that the instance has a gray failure minus the prior log odds, from the requests of this VM only.
   * @param nowMs - Current time.
   */
  computeDeviation(nowMs: number): number {
    return this.estimator.computeDeviation(this.sumNoResponseLogRatios(nowMs), nowMs);
  }

  /** Gets the limit that the instance states, in requests per second. Undefined if it states none. */
  getLimit(): number | undefined {
    return this.limit?.getPerSecond();
  }

  /**
   * Builds what the other VMs need to know of the limit of the instance. Undefined if this VM has not sent it a request recently, or if it
   * has stated no limit for some time.
   * @param nowMs - Current time.
   */
  buildLimitEvidence(nowMs: number): instanceEvidence.LimitEvidence | undefined {
    const idleMs = this.limit?.computeIdleMs(nowMs) ?? nowMs - this.limitEndedAtMs;
    if (idleMs > LIMIT_EVIDENCE_LIFETIME_MS) return undefined;
    return {
      perSecond: this.limit?.getPerSecond(), ageMs: Math.round(nowMs - this.limitStatedAtMs), sent: this.limit?.countSent() ?? 0,
    };
  }

  /**
   * Whether the limit that the instance states permits a request of this VM now.
   * @param vm - Name of this VM.
   * @param activeVms - Names of the VMs that send requests, this one included.
   * @param nowMs - Current time.
   */
  canAcceptRequest(vm: string, activeVms: readonly string[], nowMs: number): boolean {
    return this.limit === undefined || this.limit.canSend(vm, activeVms, nowMs);
  }

  /** Counts the attempts of this VM in flight. */
  countInFlight(): number {
    return this.inFlight.size;
  }

  /**
   * Evaluates health and load. The result is kept for a short time, since each request compares many instances.
   * @param nowMs - Current time.
   */
  evaluate(nowMs: number): InstanceEvaluation {
    if (nowMs - this.evaluatedAtMs < EVALUATION_LIFETIME_MS) return this.evaluation;
    this.evaluation = { failure: this.estimateFailureProbability(nowMs), load: this.estimateLoad(nowMs) };
    this.evaluatedAtMs = nowMs;
    return this.evaluation;
  }

  /**
   * Estimates the number of requests at the instance, including those of other VMs.
   * @param nowMs - Current time.
   */
  estimateLoad(nowMs: number): number {
    const reportWeight = Math.max(0, 1 - (nowMs - this.loadReportedAtMs) / LOAD_REPORT_LIFETIME_MS);
    return this.inFlight.size + Math.max(this.otherVmsLoad * reportWeight, this.sumPeerLoads(nowMs));
  }

  /**
   * Estimates the probability that a request sent now gets no successful answer.
   * @param nowMs - Current time.
   */
  estimateFailureProbability(nowMs: number): number {
    return this.estimator.estimateFailureProbability(this.sumNoResponseLogRatios(nowMs), nowMs);
  }

  /**
   * Whether the instance is still warming up after its start.
   * @param nowMs - Current time.
   */
  isWarming(nowMs: number): boolean {
    return nowMs < this.warmupEndsAtMs;
  }

  /**
   * Computes the time since a VM is known to have sent a request to the instance, or since the instance was added, in milliseconds.
   * @param nowMs - Current time.
   */
  computeIdleMs(nowMs: number): number {
    return nowMs - this.lastUsedAtMs;
  }

  /**
   * Computes the time since the latest evidence of a failure of the instance, in milliseconds; 0 while requests at it are overdue.
   * @param nowMs - Current time.
   */
  computeFailureAgeMs(nowMs: number): number {
    return this.sumNoResponseLogRatios(nowMs) > MAX_OVERDUE_LOG_RATIO ? 0 : this.estimator.computeFailureAgeMs(nowMs);
  }

  private sumPeerLoads(nowMs: number): number {
    let sum = 0;
    // Without intermediate arrays, since this runs for each instance at each request.
    this.peerLoads.forEach((load) => {
      if (nowMs - load.atMs <= PEER_LOAD_LIFETIME_MS) sum += load.inFlight;
    });
    return sum;
  }

  private sumNoResponseLogRatios(nowMs: number): number {
    let sum = 0;
    // Without intermediate arrays, since this runs for each instance at each request.
    this.inFlight.forEach((attempt) => {
      const survival = attempt.durations.estimateSurvival(nowMs - attempt.sentAtMs);
      if (survival < 1) sum += Math.max(0, grayFailureEstimator.GrayFailureEstimator.computeNoResponseLogRatio(survival));
    });
    return sum;
  }

  private recordLimit(stated: instanceStatement.StatedLimit, statedAtMs: number, nowMs: number): void {
    if (stated.type === 'unreadable' || statedAtMs < this.limitStatedAtMs) return;
    this.limitStatedAtMs = statedAtMs;
    this.applyLimit(stated.type === 'stated' ? stated.perSecond : undefined, nowMs);
  }

  private recordPeerLimit(peer: string, evidence: instanceEvidence.LimitEvidence, nowMs: number): void {
    const statedAtMs = nowMs - evidence.ageMs;
    if (statedAtMs > this.limitStatedAtMs) {
      this.limitStatedAtMs = statedAtMs;
      this.applyLimit(evidence.perSecond, nowMs);
    }
    if (evidence.perSecond !== undefined) this.limit?.recordPeerSent(peer, evidence.sent, nowMs);
  }

  private applyLimit(perSecond: number | undefined, nowMs: number): void {
    if (perSecond === undefined) {
      if (this.limit !== undefined) this.limitEndedAtMs = nowMs;
      this.limit = undefined;
    } else if (this.limit === undefined) this.limit = new requestLimit.RequestLimit(this.record.id, perSecond, nowMs);
    else this.limit.setPerSecond(perSecond, nowMs);
  }

  private recordLoad(load: instanceStatement.ReportedLoad, nowMs: number): void {
    this.otherVmsLoad = Math.max(0, load.running + load.waiting - this.inFlight.size);
    this.loadReportedAtMs = nowMs;
  }
}
