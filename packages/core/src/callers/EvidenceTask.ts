import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as evidenceMessage from './EvidenceMessage.js';
import * as evidenceTally from './EvidenceTally.js';
import type * as memberUnitCounter from './MemberUnitCounter.js';
import * as latencyHistogram from './LatencyHistogram.js';

const FLUSH_PERIOD_MS = 1_000;

// A histogram takes about 6 KB. Combinations above the limit share one tally per member, so that nothing goes uncounted.
const COMBINATION_LIMIT = 1_000;

const OTHER = 'other';

type RequestEnded = Extract<evidenceMessage.EvidenceMessage, { type: 'request-ended' }>;

interface Combination {
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
  private readonly combinations = new Map<string, Combination>();

  private members = new Map<string, MemberState>();

  // Histograms of past windows, kept for reuse because building one costs far more than clearing it.
  private readonly idleHistograms: latencyHistogram.LatencyHistogram[] = [];

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
      const known = this.members.get(member.name);
      return [member.name, known?.counting === member.counting
        ? known
        : { counting: member.counting, count: rules.callers.createMemberUnitCounter(member.counting) }];
    }));
    this.combinations.forEach((combination, key) => {
      if (!this.members.has(combination.member)) this.combinations.delete(key);
    });
  }

  private recordRequest(ended: RequestEnded): void {
    // Callers may name any member; only declared ones are counted, which bounds the memory.
    const member = this.members.get(ended.member);
    if (member === undefined) return;
    const answered = ended.latencyMs <= ended.kind.onTimeMs ? 'on-time' : 'late';
    member.count.addRequest({ kind: ended.kind, timeliness: ended.outcome === 'answered' ? answered : 'unanswered' });
    const combination = this.findCombination(ended);
    combination.total.addRequest(ended);
    combination.window ??= new evidenceTally.EvidenceTally(this.idleHistograms.pop() ?? new latencyHistogram.LatencyHistogram());
    combination.window.addRequest(ended);
  }

  private findCombination(ended: RequestEnded): Combination {
    const key = `${ended.member}/${ended.service}/${ended.kind.name}`;
    const known = this.combinations.get(key);
    if (known !== undefined) return known;
    return this.combinations.size < COMBINATION_LIMIT
      ? this.addCombination(key, ended.member, ended.service, ended.kind.name)
      : this.combinations.get(`${ended.member}/${OTHER}`) ?? this.addCombination(`${ended.member}/${OTHER}`, ended.member, OTHER, OTHER);
  }

  private addCombination(key: string, member: string, service: string, kind: string): Combination {
    const combination = {
      member, service, kind, total: new evidenceTally.EvidenceTally(new latencyHistogram.LatencyHistogram()), window: undefined,
    };
    this.combinations.set(key, combination);
    return combination;
  }

  private flushCounts(): void {
    const { identity, outbox } = this.context;
    this.sequence += 1;
    const counts = [...this.combinations.values()].flatMap((combination) => this.takeWindow(combination));
    outbox.post({
      type: 'evidence-flush',
      flush: {
        vm: identity.name, incarnation: identity.incarnation, sequence: this.sequence, counts,
      },
    });
  }

  private takeWindow(combination: Combination): evidenceMessage.EvidenceCount[] {
    const { window } = combination;
    if (window === undefined) return [];
    const count = window.toCount(combination);
    window.histogram.reset();
    this.idleHistograms.push(window.histogram);
    // eslint-disable-next-line no-param-reassign -- the task owns its combinations
    combination.window = undefined;
    return [count];
  }

  private buildReport(member: string): evidenceMessage.MemberReport | undefined {
    const state = this.members.get(member);
    if (state === undefined) return undefined;
    const { identity } = this.context;
    const combinations = [...this.combinations.values()].filter((combination) => combination.member === member);
    return {
      member,
      vm: identity.name,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      counting: state.counting,
      ...state.count.getUnits(),
      counts: combinations.map((combination) => combination.total.toCount(combination)),
    };
  }
}
