/** Accepts messages for a task, without giving access to the state of the task. */
export interface Mailbox<Message> {
  /**
   * Queues a message. The owner handles it after the messages that were queued before it.
   * @param message - Message to deliver.
   */
  post(message: Message): void;
}
