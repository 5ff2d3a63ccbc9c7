import type * as places from '../places/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import * as acquireHoldQueue from './AcquireHoldQueue.js';
import type * as instance from './Instance.js';
import type * as instanceChooser from './InstanceChooser.js';
import type * as instancePreference from './InstancePreference.js';
import * as latencySamples from './LatencySamples.js';
import type * as upstreamMessage from './UpstreamMessage.js';

// Message that requests an instance for an attempt.
type Acquire = Extract<upstreamMessage.UpstreamMessage, { readonly type: 'acquire' }>;

/** Options of an `InstanceAssigner`. */
export interface InstanceAssignerOptions {
  readonly context: vms.VmContext;
  /** Name of the service. */
  readonly service: string;
  /** Mailbox of the task, which receives `hold-expired` when the hold time of an acquire has passed. */
  readonly mailbox: tasks.Mailbox<{ readonly type: 'hold-expired' }>;
}

/** Replies once to each `acquire` with an instance of one service, and records the attempts in flight until they end. */
export class InstanceAssigner {
  readonly latencies = new latencySamples.LatencySamples();

  private readonly options: InstanceAssignerOptions;

  private readonly chooser: instanceChooser.InstanceChooser;

  private readonly preference: instancePreference.InstancePreference;

  // Instances of the attempts in flight, by attempt id.
  private readonly attempts = new Map<string, instance.Instance>();

  // Requesters that received `saturated` and wait for `capacity-freed`.
  private readonly waiting = new Set<Acquire['replyTo']>();

  private readonly held = new acquireHoldQueue.AcquireHoldQueue();

  private holdTimer: 'idle' | 'armed' = 'idle';

  private fronting: readonly places.FrontingCandidate[] = [];

  private lifecycle: 'running' | 'closed' = 'running';

  /** @param options - Dependencies of the task, and name of the service. */
  constructor(options: InstanceAssignerOptions) {
    const { context } = options;
    this.options = options;
    this.chooser = context.rules.upstreams.createChooser(context.random);
    this.preference = context.rules.upstreams.createPreference();
  }

  /**
   * Applies a change of the instances or of their weights.
   * @param instances - All instances of the service.
   */
  applyInstances(instances: readonly instance.Instance[]): void {
    this.chooser.setInstances(instances);
    this.notifyWaiting();
  }

  /**
   * Updates the preferred instances after the fronting set or the list of instances changed.
   * @param instances - All instances of the service.
   * @param fronting - Fronting set of the service, the VMs that its callers are sent to; by default that of the last call.
   */
  applyPreference(instances: readonly instance.Instance[], fronting = this.fronting): void {
    this.fronting = fronting;
    const addresses = instances.map((each) => each.address);
    this.chooser.setPreferred(this.preference.listPreferred(this.options.context.identity.name, fronting, addresses));
  }

  /**
   * Assigns an instance, holds the acquire for a short time until a preferred instance has a free slot, or replies that no instance is
   * available.
   * @param message - Acquire to reply to.
   * @param nowMs - Current time, in milliseconds.
   */
  acquire(message: Acquire, nowMs: number): void {
    if (!this.chooser.shouldTryPreferred()) {
      this.assignAny(message, nowMs);
      return;
    }
    const preferred = this.chooser.choosePreferred(message.excluded, nowMs);
    // Only first attempts are held, because a retry has been delayed already.
    const canHold = preferred === undefined && message.excluded.length === 0;
    if (canHold && this.held.add(message, this.chooser.countPreferredSlots(), nowMs) === 'held') this.startHoldTimer(nowMs);
    else if (preferred === undefined) this.assignAny(message, nowMs);
    else this.assign(message, preferred);
  }

  /**
   * Removes the record of an attempt that ended.
   * @param attemptId - Id of the attempt.
   * @returns Instance of the attempt, whose slot the calling task must release; undefined for an unknown attempt.
   */
  removeAttempt(attemptId: string): instance.Instance | undefined {
    const attempted = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    return attempted;
  }

  /** Whether any attempt is in flight. */
  hasAttempts(): boolean {
    return this.attempts.size > 0;
  }

  /**
   * Assigns instances to held acquires after a slot was released, and notifies requesters that received `saturated`.
   * @param nowMs - Current time, in milliseconds.
   */
  assignFreedSlots(nowMs: number): void {
    for (let message = this.held.getFirst(); message !== undefined; message = this.held.getFirst()) {
      const chosen = this.chooser.choosePreferred(message.excluded, nowMs);
      if (chosen === undefined) break;
      this.held.removeFirst();
      this.assign(message, chosen);
    }
    this.notifyWaiting();
  }

  /**
   * Assigns any instance with a free slot to the acquires whose hold time has passed.
   * @param nowMs - Current time, in milliseconds; Infinity for all held acquires.
   */
  expireHeld(nowMs: number): void {
    this.holdTimer = 'idle';
    this.held.removeExpired(nowMs).forEach((message) => this.assignAny(message, nowMs));
    this.startHoldTimer(nowMs);
  }

  /**
   * Ends the assignment. Replies to held acquires that no instance is available, and notifies the waiting requesters, whose next
   * acquires get the same reply.
   */
  close(): void {
    this.lifecycle = 'closed';
    this.chooser.setInstances([]);
    this.expireHeld(Infinity);
    this.notifyWaiting();
  }

  private notifyWaiting(): void {
    if (this.waiting.size === 0 || (this.lifecycle === 'running' && !this.chooser.hasCapacity())) return;
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((requester) => requester.post({ type: 'capacity-freed', service: this.options.service }));
  }

  private startHoldTimer(nowMs: number): void {
    const delayMs = this.held.computeDelayMs(nowMs);
    if (delayMs === undefined || this.holdTimer === 'armed') return;
    this.holdTimer = 'armed';
    this.options.context.timers.subscribe({ mailbox: this.options.mailbox, message: { type: 'hold-expired' }, delayMs });
  }

  private assignAny(message: Acquire, nowMs: number): void {
    const chosen = this.chooser.chooseAny(message.excluded, nowMs);
    if (typeof chosen !== 'string') {
      this.assign(message, chosen);
      return;
    }
    if (chosen === 'saturated') this.waiting.add(message.replyTo);
    message.replyTo.post({ type: 'unavailable', attemptId: message.attemptId, cause: chosen });
  }

  private assign(message: Acquire, chosen: instance.Instance): void {
    const { attemptId, replyTo } = message;
    chosen.takeSlot();
    this.attempts.set(attemptId, chosen);
    replyTo.post({
      type: 'assigned', attemptId, instance: chosen.address, hedgeAfterMs: this.latencies.getHedgeAfterMs(),
    });
  }
}
