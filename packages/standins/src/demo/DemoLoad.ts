import * as caller from '@tamarackferry/caller';
import * as core from '@tamarackferry/core';

import type * as demoCall from './DemoCall.js';
import type * as demoPreset from './DemoPreset.js';
import type * as directCaller from './DirectCaller.js';

const MAX_IN_FLIGHT = 500;

/** Message to the `DemoLoad`. */
export type LoadMessage =
  | { readonly type: 'send-due'; readonly stream: demoPreset.DemoStream }
  | { readonly type: 'ended'; readonly call: demoCall.DemoCall }
  | { readonly type: 'faults-begin' }
  | { readonly type: 'stop'; readonly replyTo: core.tasks.Mailbox<readonly demoCall.DemoCall[]> };

/** Options of a `DemoLoad`. */
export interface DemoLoadOptions {
  /** Entry VMs to ask for addresses. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  readonly streams: readonly demoPreset.DemoStream[];
  /** Gets a copy of each read before faults begin; undefined compares nothing. */
  readonly direct: directCaller.DirectCaller | undefined;
  readonly timers: core.time.TimerService;
  readonly seed: number;
}

function isOwnAnswer(answer: caller.callers.CallerAnswer, service: string, path: string): boolean {
  if (answer.status !== 200) return false;
  try {
    const body = JSON.parse(answer.body.toString('utf8')) as { readonly instance?: unknown; readonly path?: unknown };
    return body.path === path && String(body.instance).startsWith(`${service}-`);
  } catch {
    return false;
  }
}

/** Load of all members of one deployment through the caller library. */
export class DemoLoad extends core.tasks.Task<LoadMessage> {
  private readonly clients: ReadonlyMap<string, caller.callers.CallerClient>;

  private readonly calls: demoCall.DemoCall[] = [];

  private timers: readonly core.time.TimerSubscription[] = [];

  private phase: 'quiet' | 'faults' = 'quiet';

  private waiting: core.tasks.Mailbox<readonly demoCall.DemoCall[]> | undefined;

  private inFlight = 0;

  private next = 0;

  /** @param options - Streams and entry VMs. */
  constructor(private readonly options: DemoLoadOptions) {
    super(new core.tasks.TaskScheduler());
    const members = [...new Set(options.streams.map((stream) => stream.member))];
    this.clients = new Map(members.map((member, index) => [member, new caller.callers.CallerClient({
      seeds: options.seeds, member, timers: options.timers, random: new core.randomness.SeededRandomSource(options.seed + index),
    })]));
  }

  /** Starts sending. */
  start(): void {
    const random = new core.randomness.SeededRandomSource(this.options.seed);
    this.timers = this.options.streams.map((stream) => {
      const periodMs = 1_000 / stream.perSecond;
      // Streams that start together would send in bursts that fill all slots of a small service.
      return this.options.timers.subscribe({
        mailbox: this, message: { type: 'send-due', stream }, delayMs: periodMs * random.drawFraction(), periodMs,
      });
    });
  }

  /** Stops sending and resolves to all calls when the last one has ended. */
  stop(): Promise<readonly demoCall.DemoCall[]> {
    return new Promise((resolve) => {
      this.post({ type: 'stop', replyTo: { post: resolve } });
    });
  }

  /** Ends all sending and closes all connections. */
  async close(): Promise<void> {
    this.timers.forEach((timer) => timer.cancel());
    await Promise.all([...this.clients.values()].map((client) => client.close()));
  }

  /** Counts the calls that ended and those that were answered. */
  countCalls(): { readonly ended: number; readonly answered: number } {
    return { ended: this.calls.length, answered: this.calls.filter((call) => call.outcome === 'answered').length };
  }

  /** @internal */
  override handle(message: LoadMessage): void {
    switch (message.type) {
      case 'send-due':
        if (this.inFlight < MAX_IN_FLIGHT && this.waiting === undefined) this.send(message.stream);
        break;
      case 'ended':
        this.inFlight -= 1;
        this.calls.push(message.call);
        this.answerIfDone();
        break;
      case 'faults-begin':
        this.phase = 'faults';
        break;
      case 'stop':
        this.timers.forEach((timer) => timer.cancel());
        this.waiting = message.replyTo;
        this.answerIfDone();
        break;
      // no default
    }
  }

  private send(stream: demoPreset.DemoStream): void {
    const { service, kind } = stream;
    this.next += 1;
    this.inFlight += 1;
    const path = `${kind.path_prefix}/${this.next}`;
    void this.run(stream, path).then((call) => {
      this.post({ type: 'ended', call });
      // Sent after the call, so that the two do not compete for slots.
      if (this.phase === 'quiet' && kind.repeatability === 'idempotent') void this.options.direct?.send(service, path);
    });
  }

  private async run(stream: demoPreset.DemoStream, path: string): Promise<demoCall.DemoCall> {
    const { member, service, kind } = stream;
    const startMs = this.options.timers.getNowMs();
    const result = await this.clients.get(member)!.send({
      service,
      method: kind.method,
      path,
      deadlineMs: kind.deadline_ms,
      repeatability: kind.repeatability,
      ...kind.method === 'GET' ? {} : { body: Buffer.from(path) },
    });
    return {
      stream,
      path,
      outcome: result.isOk() ? 'answered' : result.error.type,
      reason: result.isOk() ? '' : result.error.reason,
      answer: result.match((answer) => (isOwnAnswer(answer, service, path) ? 'own' : 'wrong'), () => 'none'),
      latencyMs: this.options.timers.getNowMs() - startMs,
    };
  }

  private answerIfDone(): void {
    if (this.inFlight === 0) this.waiting?.post(this.calls);
  }
}
