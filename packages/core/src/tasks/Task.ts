import type * as mailbox from './Mailbox.js';
import type * as taskScheduler from './TaskScheduler.js';

/** Owns one part of the state of a VM. Other tasks access this part through messages only. */
export abstract class Task<Message> implements mailbox.Mailbox<Message> {
  /** @param scheduler - Scheduler of the VM that the task belongs to. */
  constructor(private readonly scheduler: taskScheduler.TaskScheduler) {}

  /**
   * Queues a message for this task.
   * @param message - Message to deliver.
   */
  post(message: Message): void {
    this.scheduler.enqueue(this, message);
  }

  /**
   * Handles one message. Called by the scheduler only.
   * @param message - Message to handle.
   * @internal
   */
  abstract handle(message: Message): void;
}
