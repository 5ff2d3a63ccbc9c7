import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as localHealthMessage from './LocalHealthMessage.js';

const TICK_PERIOD_MS = 100;

// If a timer fires later than this, a measured latency may be the delay of this process instead of a slow upstream.
const LATE_THRESHOLD_MS = 200;

// Answers that arrived during a pause are handled right after it, so the state `late` continues for this time.
const RECOVERY_MS = 5_000;

/** Owns the local health of this VM: detects its own pauses, so that they are not counted as failures of upstreams. */
export class LocalHealthTask extends tasks.Task<localHealthMessage.LocalHealthMessage> {
  private lastTickMs: number;

  private lateUntilMs = -Infinity;

  private health: 'good' | 'late' = 'good';

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vms.VmContext) {
    super(context.scheduler);
    this.lastTickMs = context.timers.getNowMs();
    context.timers.subscribe({
      mailbox: this, message: { type: 'tick' }, delayMs: TICK_PERIOD_MS, periodMs: TICK_PERIOD_MS,
    });
  }

  /** @internal */
  override handle(): void {
    const nowMs = this.context.timers.getNowMs();
    if (nowMs - this.lastTickMs - TICK_PERIOD_MS > LATE_THRESHOLD_MS) this.lateUntilMs = nowMs + RECOVERY_MS;
    this.lastTickMs = nowMs;
    const health = nowMs < this.lateUntilMs ? 'late' : 'good';
    if (health === this.health) return;
    this.health = health;
    this.context.mailboxes.upstreams.post({ type: 'local-health', health });
  }
}
