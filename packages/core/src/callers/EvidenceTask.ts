import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as evidenceMessage from './EvidenceMessage.js';
import * as evidenceTally from './EvidenceTally.js';
import type * as memberUnitCounter from './MemberUnitCounter.js';
import * as latencyHistogram from './LatencyHistogram.js';

const FLUSH_PERIOD_MS = 1_000;

// A histogram takes about 6 KB. Combinations above the limit share one tally per member, so that nothing goes uncounted.
const MAX_SERIES = 1_000;

const OVERFLOW_LABEL = 'other';

type RequestEnded = Extract<evidenceMessage.EvidenceMessage, { type: 'request-ended' }>;

interface EvidenceSeries {
  readonly member: string;
  readonly service: string;
  readonly kind: string;
  readonly total: evidenceTally.EvidenceTally;
  window: evidenceTally.EvidenceTally | undefined;
}

interface MemberState {
  readonly counting: contracts.MemberContract['counting'];
  readonly count: memberUnitCounter.MemberUnitCounter;
}

/** Owns the counts and histograms of the service that each member received. */
export class EvidenceTask extends tasks.Task<evidenceMessage.EvidenceMessage> {
  private readonly series = new Map<string, EvidenceSeries>();

  private members = new Map<string, MemberState>();

  // Histograms of past windows, kept for reuse because building one costs far more than clearing it.
  private readonly reusableHistograms: latencyHistogram.LatencyHistogram[] = [];

  private sequence = 0;

  /** @param context - Surroundings of the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    context.timers.subscribe({
      mailbox: this, message: { type: 'tick' }, delayMs: FLUSH_PERIOD_MS, periodMs: FLUSH_PERIOD_MS,
    });
  }

  /** @internal */
  override handle(message: evidenceMessage.EvidenceMessage): void {
    switch (message.type) {
      case 'request-ended':
        this.recordRequest(message);
        break;
      case 'document-accepted':
        this.applyMembers(message.document.members);
        break;
      case 'report-requested':
        message.replyTo.post({ type: 'member-report', queryId: message.queryId, report: this.buildReport(message.member) });
        break;
      case 'flush-requested':
        this.flushCounts();
        message.replyTo.post({ type: 'evidence-flushed' });
        break;
      case 'tick':
        this.flushCounts();
        break;
      // no default
    }
  }

  private applyMembers(members: readonly contracts.MemberContract[]): void {
    const { rules } = this.context;
    // A member that changes its way of counting begins anew, because units of two kinds cannot be added.
    this.members = new Map(members.map((member): [string, MemberState] => {
      const existing = this.members.get(member.name);
      return [member.name, existing?.counting === member.counting
        ? existing
        : { counting: member.counting, count: rules.callers.createMemberUnitCounter(member.counting) }];
    }));
    this.series.forEach((entry, key) => {
      if (!this.members.has(entry.member)) this.series.delete(key);
    });
  }

  private recordRequest(ended: RequestEnded): void {
    // Callers may name any member; only declared ones are counted, which bounds the memory.
    const member = this.members.get(ended.member);
    if (member === undefined) return;
    const answered = ended.latencyMs <= ended.kind.onTimeMs ? 'on-time' : 'late';
    member.count.addRequest({ kind: ended.kind, timeliness: ended.outcome === 'answered' ? answered : 'unanswered' });
    const entry = this.getSeries(ended);
    entry.total.addRequest(ended);
    entry.window ??= new evidenceTally.EvidenceTally(this.reusableHistograms.pop() ?? new latencyHistogram.LatencyHistogram());
    entry.window.addRequest(ended);
  }

  private getSeries(ended: RequestEnded): EvidenceSeries {
    const key = `${ended.member}/${ended.service}/${ended.kind.name}`;
    const existing = this.series.get(key);
    if (existing !== undefined) return existing;
    return this.series.size < MAX_SERIES
      ? this.addSeries(key, ended.member, ended.service, ended.kind.name)
      : this.series.get(`${ended.member}/${OVERFLOW_LABEL}`) ?? this.addSeries(`${ended.member}/${OVERFLOW_LABEL}`, ended.member, OVERFLOW_LABEL, OVERFLOW_LABEL);
  }

  private addSeries(key: string, member: string, service: string, kind: string): EvidenceSeries {
    const entry = {
      member, service, kind, total: new evidenceTally.EvidenceTally(new latencyHistogram.LatencyHistogram()), window: undefined,
    };
    this.series.set(key, entry);
    return entry;
  }

  private flushCounts(): void {
    const { identity, outbox } = this.context;
    this.sequence += 1;
    const counts = [...this.series.values()].flatMap((entry) => this.takeWindow(entry));
    outbox.post({
      type: 'evidence-flush',
      flush: {
        vm: identity.name, incarnation: identity.incarnation, sequence: this.sequence, counts,
      },
    });
  }

  private takeWindow(entry: EvidenceSeries): evidenceMessage.EvidenceCount[] {
    const { window } = entry;
    if (window === undefined) return [];
    const count = window.toCount(entry);
    window.histogram.reset();
    this.reusableHistograms.push(window.histogram);
    // eslint-disable-next-line no-param-reassign -- the task owns its combinations
    entry.window = undefined;
    return [count];
  }

  private buildReport(member: string): evidenceMessage.MemberReport | undefined {
    const state = this.members.get(member);
    if (state === undefined) return undefined;
    const { identity } = this.context;
    const series = [...this.series.values()].filter((entry) => entry.member === member);
    return {
      member,
      vm: identity.name,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      counting: state.counting,
      ...state.count.getUnits(),
      counts: series.map((entry) => entry.total.toCount(entry)),
    };
  }
}
