import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as localHealthMessage from './LocalHealthMessage.js';

const TICK_PERIOD_MS = 100;

// A VM whose timers fire later than this cannot tell a slow upstream from its own delay.
const LATE_LIMIT_MS = 200;

// Answers that arrived during a pause are handled just after it, so the VM stays late for a while.
const RECOVERY_MS = 5_000;

/** Owns the view of whether this VM itself is late, so that it does not blame upstreams for its own pauses. */
export class LocalHealthTask extends tasks.Task<localHealthMessage.LocalHealthMessage> {
  private lastTickMs: number;

  private lateUntilMs = -Infinity;

  private health: 'good' | 'late' = 'good';

  /** @param context - Surroundings of the tasks of the VM. */
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
    if (nowMs - this.lastTickMs - TICK_PERIOD_MS > LATE_LIMIT_MS) this.lateUntilMs = nowMs + RECOVERY_MS;
    this.lastTickMs = nowMs;
    const health = nowMs < this.lateUntilMs ? 'late' : 'good';
    if (health === this.health) return;
    this.health = health;
    this.context.mailboxes.upstreams.post({ type: 'local-health', health });
  }
}
