import type * as attemptEnding from './AttemptEnding.js';
import type * as durationSamples from './DurationSamples.js';
import type * as instanceRecord from './InstanceRecord.js';

// Time in which evidence loses most of its weight: gray failures last some seconds.
const EVIDENCE_DECAY_MS = 4_000;

// Share of failures expected of an instance that nothing is known of, and the number of requests that this is worth.
const PRIOR_FAILURE_SHARE = 0.02;
const PRIOR_REQUESTS = 3;

// Share of requests that meet an instance which will never answer. Sets how long silence must last to be telling.
const SILENCE_PRIOR = 0.02;

// Reports of load describe the past; after this time nothing of one is left.
const LOAD_REPORT_LIFETIME_MS = 600;

interface InFlight {
  readonly sentAtMs: number;
  readonly durations: durationSamples.DurationSamples;
}

/** One instance with the requests of this VM in flight at it and the evidence about it. */
export class PooledInstance {
  private readonly inFlight = new Map<string, InFlight>();

  private failures = 0;

  private total = 0;

  private decayedAtMs = 0;

  private othersLoad = 0;

  private reportedAtMs = -Infinity;

  private usedAtMs = -Infinity;

  private warmAtMs: number;

  /**
   * @param record - What the instance published.
   * @param nowMs - Time of the reading.
   */
  constructor(private record: instanceRecord.InstanceRecord, nowMs: number) {
    this.warmAtMs = nowMs + record.warmupMs;
    this.decayedAtMs = nowMs;
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
    const before = this.record;
    this.record = record;
    this.warmAtMs = nowMs + record.warmupMs;
    if (before.startedAtMs === record.startedAtMs && before.host === record.host && before.port === record.port) return;
    this.failures = 0;
    this.total = 0;
    this.othersLoad = 0;
  }

  /**
   * Begins an attempt.
   * @param attemptId - Id of the attempt.
   * @param nowMs - Present time.
   * @param durations - Durations of the route.
   */
  begin(attemptId: string, nowMs: number, durations: durationSamples.DurationSamples): void {
    this.inFlight.set(attemptId, { sentAtMs: nowMs, durations });
    this.usedAtMs = nowMs;
  }

  /**
   * Ends an attempt and takes its result as evidence.
   * @param attemptId - Id of the attempt.
   * @param ending - How it ended.
   * @param nowMs - Present time.
   */
  end(attemptId: string, ending: attemptEnding.AttemptEnding, nowMs: number): void {
    const ended = this.inFlight.get(attemptId);
    if (ended === undefined) return;
    this.inFlight.delete(attemptId);
    this.expireEvidence(nowMs);
    if ((ending.type === 'answered' || ending.type === 'not-run') && ending.load !== undefined) this.recordLoad(ending.load, nowMs);
    const ageMs = nowMs - ended.sentAtMs;
    switch (ending.type) {
      case 'answered':
        this.total += 1;
        if (ending.answer.status >= 500) this.failures += 1;
        else ended.durations.record(ageMs);
        break;
      case 'not-run':
        break;
      case 'cancelled': {
        const weight = PooledInstance.weighSilence(ended, nowMs);
        this.failures += weight;
        this.total += weight;
        break;
      }
      default:
        this.failures += 1;
        this.total += 1;
        break;
    }
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
    const freshness = Math.max(0, 1 - (nowMs - this.reportedAtMs) / LOAD_REPORT_LIFETIME_MS);
    return this.inFlight.size + this.othersLoad * freshness;
  }

  /**
   * Estimates the probability that a request sent now gets no good answer.
   * @param nowMs - Present time.
   */
  estimateFailure(nowMs: number): number {
    this.expireEvidence(nowMs);
    let silence = 0;
    this.inFlight.forEach((flight) => {
      silence += PooledInstance.weighSilence(flight, nowMs);
    });
    return (PRIOR_FAILURE_SHARE * PRIOR_REQUESTS + this.failures + silence) / (PRIOR_REQUESTS + this.total + silence);
  }

  /**
   * Whether it is still slow after its start.
   * @param nowMs - Present time.
   */
  isWarming(nowMs: number): boolean {
    return nowMs < this.warmAtMs;
  }

  /**
   * Computes the time since this VM last sent it a request, in milliseconds.
   * @param nowMs - Present time.
   */
  computeIdleMs(nowMs: number): number {
    return nowMs - this.usedAtMs;
  }

  // Probability that the instance is silent for good, given that the answer has not come until now.
  private static weighSilence(flight: InFlight, nowMs: number): number {
    const survival = flight.durations.estimateSurvival(nowMs - flight.sentAtMs);
    return (SILENCE_PRIOR * (1 - survival)) / (SILENCE_PRIOR + survival);
  }

  private recordLoad(load: attemptEnding.ReportedLoad, nowMs: number): void {
    this.othersLoad = Math.max(0, load.running + load.waiting - this.inFlight.size);
    this.reportedAtMs = nowMs;
  }

  private expireEvidence(nowMs: number): void {
    const kept = Math.exp((this.decayedAtMs - nowMs) / EVIDENCE_DECAY_MS);
    this.decayedAtMs = nowMs;
    this.failures *= kept;
    this.total *= kept;
  }
}
