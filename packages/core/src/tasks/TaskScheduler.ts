import type * as task from './Task.js';

interface Delivery {
  readonly receiver: task.Task<unknown>;
  readonly message: unknown;
}

/** Delivers the messages of all tasks of one VM in the order in which they were posted, one at a time. */
export class TaskScheduler {
  private deliveries: Delivery[] = [];

  private state: 'idle' | 'running' = 'idle';

  /**
   * Queues a message and, unless a delivery is in progress, delivers until no message is left.
   * @param receiver - Task that handles the message.
   * @param message - Message to deliver.
   * @internal
   */
  enqueue<Message>(receiver: task.Task<Message>, message: Message): void {
    this.deliveries.push({ receiver: receiver as task.Task<unknown>, message });
    if (this.state === 'idle') this.runUntilIdle();
  }

  private runUntilIdle(): void {
    this.state = 'running';
    try {
      // An index avoids the cost of shift() on long queues.
      for (let next = 0; next < this.deliveries.length; next += 1) {
        const delivery = this.deliveries[next];
        delivery?.receiver.handle(delivery.message);
      }
    } finally {
      this.deliveries = [];
      this.state = 'idle';
    }
  }
}
