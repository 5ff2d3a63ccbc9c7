import * as core from '@tamarackferry/core';

/** Timers of a process that can pause; what falls due meanwhile happens on resumption. */
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

  /** Runs an action now, or on resumption. */
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
