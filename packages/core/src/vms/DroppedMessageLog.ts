import type * as vmContext from './VmContext.js';

const LOG_PERIOD_MS = 10_000;

/** Counts dropped peer messages and logs the latest cause at most once every 10 s. */
export class DroppedMessageLog {
  private dropped = 0;

  private lastLogMs = -Infinity;

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {}

  /** Gets the number of dropped messages. */
  getCount(): number {
    return this.dropped;
  }

  /**
   * Records a dropped message.
   * @param detail - Cause of the drop.
   */
  recordDrop(detail: string): void {
    this.dropped += 1;
    const nowMs = this.context.timers.getNowMs();
    if (nowMs - this.lastLogMs < LOG_PERIOD_MS) return;
    this.lastLogMs = nowMs;
    this.context.outbox.post({
      type: 'log', prefix: 'peers', level: 'warn', text: `dropped a peer message: ${detail.slice(0, 200)} (${this.dropped} dropped since the start)`,
    });
  }
}
