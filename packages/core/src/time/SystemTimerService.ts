import type * as timerOptions from './TimerOptions.js';
import * as timerService from './TimerService.js';
import type * as timerSubscription from './TimerSubscription.js';

/** Timer service on the monotonic clock of the process. */
export class SystemTimerService extends timerService.TimerService {
  override getNowMs(): number {
    return performance.now();
  }

  override subscribe<Message>(options: timerOptions.TimerOptions<Message>): timerSubscription.TimerSubscription {
    const fire = (): void => options.mailbox.post(options.message);
    if (options.periodMs === undefined) {
      // Node.js replaces longer delays by 1 ms.
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
