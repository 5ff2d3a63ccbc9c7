import * as core from '@tamarackferry/core';

/** Timers of a process that can pause; what falls due meanwhile happens on resumption. */
export class PausableTimerService extends core.time.TimerService {
  private held: (() => void)[] | undefined;

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
          if (this.held === undefined) fire();
          else if (!this.held.includes(fire)) this.held.push(fire);
        },
      },
    });
  }

  /** Runs an action now, or on resumption. */
  run(action: () => void): void {
    if (this.held === undefined) action();
    else this.held.push(action);
  }

  pause(): void {
    this.held ??= [];
  }

  resume(): void {
    const held = this.held ?? [];
    this.held = undefined;
    held.forEach((action) => action());
  }
}
