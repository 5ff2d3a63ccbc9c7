import * as core from '@tamarackferry/core';

/** Timer service on the monotonic clock of the process. */
export class SystemTimerService extends core.time.TimerService {
  override getNowMs(): number {
    return performance.now();
  }

  override subscribe<Message>(options: core.time.TimerOptions<Message>): core.time.TimerSubscription {
    const fire = (): void => options.mailbox.post(options.message);
    if (options.periodMs === undefined) {
      // Node treats longer delays as 1 ms.
      const timer = setTimeout(fire, Math.min(options.delayMs, 2 ** 31 - 1));
      return { cancel: () => clearTimeout(timer) };
    }
    const { periodMs } = options;
    let timer = setTimeout(() => {
      timer = setInterval(fire, periodMs);
      fire();
    }, options.delayMs);
    return { cancel: () => clearTimeout(timer) };
  }
}
