import type * as contracts from '../contracts/index.js';
import type * as places from '../places/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as drainNotice from './DrainNotice.js';
import type * as drainRecord from './DrainRecord.js';
import * as evaluationTimer from './EvaluationTimer.js';
import * as evidenceRateLimiter from './EvidenceRateLimiter.js';
import type * as instance from './Instance.js';
import * as instanceAssigner from './InstanceAssigner.js';
import * as instanceTable from './InstanceTable.js';
import * as poolHealthEvaluator from './PoolHealthEvaluator.js';
import * as upstreamAnnouncer from './UpstreamAnnouncer.js';
import type * as upstreamMessage from './UpstreamMessage.js';

type Message<Type extends upstreamMessage.UpstreamMessage['type']> = Extract<upstreamMessage.UpstreamMessage, { readonly type: Type }>;

// The fronting set changes with the peers that this VM has a record of. A request for it is cheap: the peer task looks it up in a map.
const FRONTING_REQUEST_PERIOD_MS = 1_000;

/** Options of an `UpstreamTask`. */
export interface UpstreamTaskOptions {
  readonly context: vms.VmContext;
  readonly contract: contracts.ServiceContract;
}

/** Owns the state of the instances of one service: assigns them to attempts, evaluates their health, and ejects and reinstates them. */
export class UpstreamTask extends tasks.Task<upstreamMessage.UpstreamMessage> {
  private readonly context: vms.VmContext;

  private contract: contracts.ServiceContract;

  private readonly drains: drainRecord.DrainRecord;

  private readonly table: instanceTable.InstanceTable;

  private readonly assigner: instanceAssigner.InstanceAssigner;

  private readonly health: poolHealthEvaluator.PoolHealthEvaluator;

  private readonly evidenceLimiter = new evidenceRateLimiter.EvidenceRateLimiter();

  private readonly announcer: upstreamAnnouncer.UpstreamAnnouncer;

  private readonly timer: evaluationTimer.EvaluationTimer;

  private frontingRequestedAtMs = -Infinity;

  /** @param options - Dependencies of the task, and contract of the service. */
  constructor(options: UpstreamTaskOptions) {
    super(options.context.scheduler);
    const { context, contract } = options;
    const rules = context.rules.upstreams;
    this.context = context;
    this.contract = contract;
    this.drains = rules.createDrainRecord();
    this.table = new instanceTable.InstanceTable({ drains: this.drains, retentionPolicy: rules.createRetentionPolicy(), contract });
    this.assigner = new instanceAssigner.InstanceAssigner({ context, service: contract.name, mailbox: this });
    this.health = new poolHealthEvaluator.PoolHealthEvaluator({
      rules, contract, place: context.identity.place, random: context.random,
    });
    this.announcer = new upstreamAnnouncer.UpstreamAnnouncer(context, contract.name);
    this.timer = new evaluationTimer.EvaluationTimer(context.timers, this);
  }

  /** Stops the task when the document in force no longer declares its service: cancels its timer and removes all instances. */
  stop(): void {
    this.timer.close();
    this.table.clear();
    this.assigner.close();
  }

  /** Lists the draining incarnations, for a later task of the same service. */
  listDrains(): readonly drainNotice.DrainNotice[] {
    return this.drains.list().map((each) => ({ service: this.contract.name, ...each }));
  }

  /** Gets the state of the service for the status page. */
  getStatus(): upstreamMessage.UpstreamStatus {
    return {
      type: 'upstream-status',
      service: this.contract.name,
      floorInstances: this.contract.floorInstances,
      instances: this.table.list().map((each) => each.getStatus()),
    };
  }

  /** @internal */
  override handle(message: upstreamMessage.UpstreamMessage): void {
    const nowMs = this.context.timers.getNowMs();
    switch (message.type) {
      case 'acquire':
        this.assigner.acquire(message, nowMs);
        this.timer.start(nowMs);
        break;
      case 'observed':
        this.endAttempt(message, nowMs);
        break;
      case 'contract':
        this.contract = message.contract;
        this.table.setSlots(message.contract.slotsPerInstance);
        this.health.setContract(message.contract);
        this.updateRotation(nowMs);
        break;
      case 'list':
        this.applyList(message, nowMs);
        break;
      case 'drain':
        this.applyDrains(message.notices, nowMs);
        break;
      case 'probe-ended':
        this.endProbe(message, nowMs);
        break;
      case 'hold-expired':
        this.assigner.expireHeld(nowMs);
        this.timer.start(nowMs);
        break;
      case 'fronting':
        this.applyFronting(message.vms);
        break;
      case 'evidence-requested':
        this.reportEvidence(message, nowMs);
        break;
      case 'evidence-reported':
        this.health.peerEvidence.record(message.from, message.place, message.rows, nowMs);
        this.timer.start(nowMs);
        break;
      case 'peer-ejections':
        if (this.health.peerEjections.record(message.from, message.instances, nowMs) === 'changed') this.updateRotation(nowMs);
        break;
      case 'local-health':
        this.health.observationGate.setLocalHealth(message.health);
        if (!this.health.observationGate.isOpen()) this.table.list().forEach((each) => each.observations.removePending());
        break;
      case 'status-requested':
        message.replyTo.post(this.getStatus());
        break;
      case 'tick':
        this.evaluatePool(nowMs);
        break;
      // no default
    }
  }

  private endAttempt(message: Message<'observed'>, nowMs: number): void {
    const attempted = this.assigner.removeAttempt(message.attemptId);
    if (attempted === undefined) return;
    if (message.load !== undefined) attempted.load.record(message.load, attempted.inFlight, nowMs);
    attempted.releaseSlot();
    const { observation } = message;
    if (observation === 'shed') attempted.limit.recordShed(nowMs);
    if (observation === 'on-time' || observation === 'late') attempted.limit.recordServed();
    if (this.health.observationGate.isOpen()) this.recordObservation(attempted, message, nowMs);
    if (message.drain === 'leaving' || observation === 'draining') this.drainInstance(attempted, nowMs);
    this.assigner.assignFreedSlots(nowMs);
    this.timer.start(nowMs);
  }

  private recordObservation(attempted: instance.Instance, message: Message<'observed'>, nowMs: number): void {
    const { observation, latencyMs } = message;
    attempted.observations.record(observation, latencyMs);
    if (observation !== 'on-time' && observation !== 'late') return;
    if (observation === 'on-time') attempted.recordOnTime(nowMs);
    attempted.recordLatency(latencyMs, nowMs);
    this.assigner.latencies.record(latencyMs);
  }

  private applyList(message: Message<'list'>, nowMs: number): void {
    const leaving = this.table.applyList(message.entries, nowMs);
    this.applyDrains(leaving.map((entry) => ({
      service: this.contract.name, instance: entry.name, incarnation: entry.incarnation,
    })), nowMs);
    this.assigner.applyPreference(this.table.list());
    this.updateRotation(nowMs);
  }

  private applyFronting(fronting: readonly places.FrontingCandidate[]): void {
    this.health.setFrontingRole(fronting.some((vm) => vm.name === this.context.identity.name) ? 'fronting' : 'outside');
    this.assigner.applyPreference(this.table.list(), fronting);
  }

  private requestFronting(nowMs: number): void {
    if (nowMs - this.frontingRequestedAtMs < FRONTING_REQUEST_PERIOD_MS) return;
    this.frontingRequestedAtMs = nowMs;
    this.context.mailboxes.peers.post({ type: 'fronting-requested', service: this.contract.name, replyTo: this });
  }

  private drainInstance(drained: instance.Instance, nowMs: number): void {
    const { service, name, incarnation } = drained.address;
    this.applyDrains([{ service, instance: name, incarnation }], nowMs);
  }

  private applyDrains(notices: readonly drainNotice.DrainNotice[], nowMs: number): void {
    const newNotices = notices.filter((notice) => this.drains.add(notice) === 'first');
    this.table.applyDrains();
    if (newNotices.length === 0) return;
    this.announcer.announceDrains(newNotices);
    this.updateRotation(nowMs);
  }

  private endProbe(message: Message<'probe-ended'>, nowMs: number): void {
    const probed = this.health.probes.finish(message.instance, message.result, nowMs);
    if (probed === undefined) return;
    const { result } = message;
    if (result.type === 'healthy' && result.load !== undefined) probed.load.record(result.load, probed.inFlight, nowMs);
    if (result.type === 'draining') this.drainInstance(probed, nowMs);
    this.assigner.assignFreedSlots(nowMs);
  }

  private reportEvidence(message: Message<'evidence-requested'>, nowMs: number): void {
    this.health.peerSuspicions.record(message.instances, nowMs);
    if (!this.health.observationGate.isOpen()) return;
    const instances = message.instances.flatMap((name) => this.table.get(name) ?? []);
    this.announcer.reportEvidence(message.from, this.evidenceLimiter.takeReplyRows(message.from, instances, nowMs));
  }

  private evaluatePool(nowMs: number): void {
    this.requestFronting(nowMs);
    const { elapsedMs, timeliness } = this.timer.finish(nowMs);
    // The failures of the period may have been caused by a pause of this VM.
    if (timeliness === 'late') this.table.list().forEach((each) => each.observations.removePending());
    this.table.expire(nowMs);
    this.assigner.latencies.update();
    this.health.evaluate(this.table.list(), nowMs, elapsedMs);
    this.updateRotation(nowMs);
    const suspects = this.table.list().filter((each) => each.state === 'live'
      && (each.suspicion === 'suspected' || each.healthWeight < 1 || each.ejection.getState() === 'ejected'));
    if (this.health.observationGate.isOpen()) {
      this.announcer.requestEvidence(this.evidenceLimiter.takeInstancesToRequest(suspects.filter((each) => each.isInRotation()), nowMs));
    }
    this.announcer.sendProbes(this.health.probes.begin(suspects.filter((each) => each.needsProbe()), nowMs));
  }

  // To be called after each change of instances, drain records, ejections or weights.
  private updateRotation(nowMs: number): void {
    this.health.checkFloor(this.table.list(), nowMs);
    this.assigner.applyInstances(this.table.list());
    this.announcer.announceEjections(this.table.list());
    if (this.assigner.hasAttempts() || this.table.list().some((each) => each.needsEvaluation())) this.timer.start(nowMs);
  }
}
