import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as evidenceMessage from './EvidenceMessage.js';
import * as evidenceTally from './EvidenceTally.js';
import * as latencyHistogram from './LatencyHistogram.js';
import type * as memberUnitCounter from './MemberUnitCounter.js';

const FLUSH_PERIOD_MS = 1_000;

// Limits the memory, as a histogram takes about 6 KB. Requests beyond the limit are counted in one overflow series per member.
const MAX_SERIES = 1_000;

const OVERFLOW_LABEL = 'other';

type RequestEnded = Extract<evidenceMessage.EvidenceMessage, { type: 'request-ended' }>;

/** Counts of one member, service and kind. */
interface EvidenceSeries {
  readonly member: string;
  readonly service: string;
  readonly kind: string;
  /** Counts since the start of the VM. */
  readonly total: evidenceTally.EvidenceTally;
  /** Counts since the last flush; undefined if no request has ended since. */
  window: evidenceTally.EvidenceTally | undefined;
}

interface MemberState {
  readonly counting: contracts.MemberContract['counting'];
  readonly counter: memberUnitCounter.MemberUnitCounter;
}

/** Builds the evidence (service report) of each member: counts requests and latencies, flushes the counts every second, sends reports. */
export class EvidenceTask extends tasks.Task<evidenceMessage.EvidenceMessage> {
  private readonly series = new Map<string, EvidenceSeries>();

  private members = new Map<string, MemberState>();

  // Empty histograms for reuse, because building one costs far more than clearing it.
  private readonly reusableHistograms: latencyHistogram.LatencyHistogram[] = [];

  private sequence = 0;

  /** @param context - Dependencies shared by the tasks of this VM. */
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
    // The counter of a member restarts at zero when its counting method changes, because units of two methods cannot be added.
    this.members = new Map(members.map((member): [string, MemberState] => {
      const existing = this.members.get(member.name);
      return [member.name, existing?.counting === member.counting
        ? existing
        : { counting: member.counting, counter: rules.callers.createMemberUnitCounter(member.counting) }];
    }));
    this.series.forEach((entry, key) => {
      if (!this.members.has(entry.member)) this.series.delete(key);
    });
  }

  private recordRequest(ended: RequestEnded): void {
    // Callers can send any member name; only declared members are counted, which bounds the memory.
    const member = this.members.get(ended.member);
    if (member === undefined) return;
    const answerTimeliness = ended.latencyMs <= ended.kind.onTimeMs ? 'on-time' : 'late';
    member.counter.addRequest({ kind: ended.kind, timeliness: ended.outcome === 'answered' ? answerTimeliness : 'unanswered' });
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
    // eslint-disable-next-line no-param-reassign -- the task owns its series
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
      ...state.counter.getUnits(),
      counts: series.map((entry) => entry.total.toCount(entry)),
    };
  }
}
