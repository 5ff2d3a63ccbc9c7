import type * as places from '../places/index.js';
import type * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import * as acquireHoldQueue from './AcquireHoldQueue.js';
import type * as instance from './Instance.js';
import type * as instanceChooser from './InstanceChooser.js';
import type * as instancePreference from './InstancePreference.js';
import * as latencySamples from './LatencySamples.js';
import type * as upstreamMessage from './UpstreamMessage.js';

type Acquire = Extract<upstreamMessage.UpstreamMessage, { readonly type: 'acquire' }>;

/** Options of an `InstanceAssigner`. */
export interface InstanceAssignerOptions {
  readonly context: vms.VmContext;
  /** Name of the service. */
  readonly service: string;
  /** Task that gets `held-due`. */
  readonly mailbox: tasks.Mailbox<{ readonly type: 'hold-expired' }>;
}

/** Assigns instances of one service to attempts, each acquire once, and keeps the attempts until they end. */
export class InstanceAssigner {
  readonly latencies = new latencySamples.LatencySamples();

  private readonly options: InstanceAssignerOptions;

  private readonly chooser: instanceChooser.InstanceChooser;

  private readonly preference: instancePreference.InstancePreference;

  private readonly attempts = new Map<string, instance.Instance>();

  // Requesters that were told `saturated`.
  private readonly waiting = new Set<Acquire['replyTo']>();

  private readonly held = new acquireHoldQueue.AcquireHoldQueue();

  private holdTimer: 'idle' | 'armed' = 'idle';

  private fronting: readonly places.FrontingCandidate[] = [];

  private lifecycle: 'running' | 'closed' = 'running';

  /** @param options - Surroundings and service. */
  constructor(options: InstanceAssignerOptions) {
    const { context } = options;
    this.options = options;
    this.chooser = context.rules.upstreams.createChooser(context.random);
    this.preference = context.rules.upstreams.createPreference();
  }

  /**
   * Applies a change of instances or weights.
   * @param instances - All instances of the service.
   */
  applyInstances(instances: readonly instance.Instance[]): void {
    this.chooser.setInstances(instances);
    this.notifyWaiting();
  }

  /**
   * Applies the fronting set or the list, which decide about the preferred instances.
   * @param instances - All instances of the service.
   * @param fronting - Fronting set; the one that is known if not given.
   */
  applyPreference(instances: readonly instance.Instance[], fronting = this.fronting): void {
    this.fronting = fronting;
    const addresses = instances.map((each) => each.address);
    this.chooser.setPreferred(this.preference.listPreferred(this.options.context.identity.name, fronting, addresses));
  }

  /**
   * Assigns an instance, holds the acquire for a short time, or replies that there is none.
   * @param message - Acquire to answer.
   * @param nowMs - Current time, in milliseconds.
   */
  acquire(message: Acquire, nowMs: number): void {
    if (!this.chooser.shouldTryPreferred()) {
      this.assignAny(message, nowMs);
      return;
    }
    const preferred = this.chooser.choosePreferred(message.excluded, nowMs);
    // A retry has lost time already, so only first attempts wait.
    const canHold = preferred === undefined && message.excluded.length === 0;
    if (canHold && this.held.add(message, this.chooser.countPreferredSlots(), nowMs) === 'held') this.startHoldTimer(nowMs);
    else if (preferred === undefined) this.assignAny(message, nowMs);
    else this.assign(message, preferred);
  }

  /**
   * Ends an attempt and returns its instance, whose slot the owner frees.
   * @param attemptId - Id of the attempt.
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
   * Assigns held acquires after a slot was freed, and notifies requesters that were told `saturated`.
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
   * Assigns any instance to the acquires that were held long enough.
   * @param nowMs - Current time, in milliseconds; Infinity takes all.
   */
  expireHeld(nowMs: number): void {
    this.holdTimer = 'idle';
    this.held.removeExpired(nowMs).forEach((message) => this.assignAny(message, nowMs));
    this.startHoldTimer(nowMs);
  }

  /** Ends the assignment. What waits asks again and learns that there is no instance. */
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
