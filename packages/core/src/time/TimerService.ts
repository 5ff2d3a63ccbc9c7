import type * as timerOptions from './TimerOptions.js';
import type * as timerSubscription from './TimerSubscription.js';

/** The only source of time for the tasks of a VM. */
export abstract class TimerService {
  /** Gets the monotonic time in milliseconds. */
  abstract getNowMs(): number;

  /**
   * Posts a message to a mailbox after a delay, once or periodically.
   * @param options - Receiver, message and times.
   */
  abstract subscribe<Message>(options: timerOptions.TimerOptions<Message>): timerSubscription.TimerSubscription;
}
