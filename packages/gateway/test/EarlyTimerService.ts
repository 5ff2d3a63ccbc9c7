import * as core from '@tamarackferry/core';

/** Virtual time in which timers fire a little early, as those of the system can. */
export class EarlyTimerService extends core.time.VirtualTimerService {
  override subscribe<Message>(options: core.time.TimerOptions<Message>): core.time.TimerSubscription {
    return super.subscribe({ ...options, delayMs: options.delayMs - 1 });
  }
}
