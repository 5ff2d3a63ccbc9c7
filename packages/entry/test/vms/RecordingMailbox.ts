import type * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

/** Mailbox that records the messages posted to it. */
export class RecordingMailbox<Message extends { readonly type: string }> implements core.tasks.Mailbox<Message> {
  readonly messages: Message[] = [];

  /** @param onMessage - Called for each message. */
  constructor(private readonly onMessage: (message: Message) => void = () => undefined) {}

  post(message: Message): void {
    this.messages.push(message);
    this.onMessage(message);
  }

  /** Lists the messages of one type. */
  list<Type extends Message['type']>(type: Type): Extract<Message, { type: Type }>[] {
    return this.messages.filter((message): message is Extract<Message, { type: Type }> => message.type === type);
  }

  /** Waits until `count` messages of a type were posted. Resolves to the one at position `count`, counted from 1. */
  async waitFor<Type extends Message['type']>(type: Type, count = 1): Promise<Extract<Message, { type: Type }>> {
    await vitest.vi.waitFor(() => vitest.expect(this.list(type).length).toBeGreaterThanOrEqual(count), { timeout: 20_000 });
    return this.list(type)[count - 1]!;
  }
}
