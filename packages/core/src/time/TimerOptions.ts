import type * as tasks from '../tasks/index.js';

/** Describes a message that the timer service is to post. */
export interface TimerOptions<Message> {
  /** Receiver of the message. */
  readonly mailbox: tasks.Mailbox<Message>;
  /** Message that is posted each time the timer fires. */
  readonly message: Message;
  /** Time until the timer fires first, in milliseconds. */
  readonly delayMs: number;
  /** Time between further firings, in milliseconds. The timer fires once if it is not given. */
  readonly periodMs?: number;
}
