import * as core from '@tamarackferry/core';

/** Timers of a process that can be paused. Timers that become due during a pause fire when the process resumes. */
export class PausableTimerService extends core.time.TimerService {
  private deferred: (() => void)[] | undefined;

  constructor(private readonly timers: core.time.TimerService) {
    super();
  }

  override getNowMs(): number {
    return this.timers.getNowMs();
  }

  override subscribe<Message>(options: core.time.TimerOptions<Message>): core.time.TimerSubscription {
    const fire = () => options.mailbox.post(options.message);
    return this.timers.subscribe({
      ...options,
      mailbox: {
        // A periodic timer fires once after a pause, however long it was.
        post: () => {
          if (this.deferred === undefined) fire();
          else if (!this.deferred.includes(fire)) this.deferred.push(fire);
        },
      },
    });
  }

  /** Runs an action now, or during a pause when the process resumes. */
  run(action: () => void): void {
    if (this.deferred === undefined) action();
    else this.deferred.push(action);
  }

  pause(): void {
    this.deferred ??= [];
  }

  resume(): void {
    const deferred = this.deferred ?? [];
    this.deferred = undefined;
    deferred.forEach((action) => action());
  }
}
