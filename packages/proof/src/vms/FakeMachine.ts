import * as core from '@tamarackferry/core';

import type * as links from '../links/index.js';
import type * as worlds from '../worlds/index.js';

/** Options of a `FakeMachine`. */
export interface FakeMachineOptions {
  readonly name: string;
  readonly place: string;
  readonly index: number;
  readonly deployment: string;
  readonly seed: number;
  readonly queue: worlds.EventQueue;
  readonly codec: core.contracts.DocumentCodec;
  readonly rules: Partial<core.vms.VmRules> | undefined;
  /** Receives the outputs of the running process. */
  readonly outbox: (machine: FakeMachine, output: core.vms.VmOutput) => void;
}

/** Machine that runs one `core.vms.Vm` at a time: can be frozen, killed and restarted with a new incarnation. */
export class FakeMachine {
  readonly endpoint: links.Endpoint;

  private state: 'running' | 'frozen' | 'dead' = 'dead';

  private vm: core.vms.Vm | undefined;

  private timers = new core.time.VirtualTimerService();

  private readonly random: core.randomness.RandomSource;

  private pending: core.vms.VmInput[] = [];

  private wakeAtMs = Infinity;

  private runs = 0;

  private currentIdentity: core.vms.VmIdentity;

  /** @param options - Name, place and surroundings. */
  constructor(private readonly options: FakeMachineOptions) {
    this.endpoint = { name: options.name, place: options.place, role: 'vms' };
    this.random = new core.randomness.SeededRandomSource(options.seed);
    this.currentIdentity = this.buildIdentity();
  }

  /** Identity of the running process, or of the last one. */
  get identity(): core.vms.VmIdentity {
    return this.currentIdentity;
  }

  /** Number of processes that the machine has started. */
  get run(): number {
    return this.runs;
  }

  /** Gets whether the process runs. */
  getState(): 'running' | 'frozen' | 'dead' {
    return this.state;
  }

  /** Starts a process with a new incarnation. */
  start(): void {
    this.kill();
    this.runs += 1;
    this.currentIdentity = this.buildIdentity();
    this.timers = new core.time.VirtualTimerService(this.options.queue.getNowMs());
    this.state = 'running';
    const { runs } = this;
    this.vm = new core.vms.Vm({
      identity: this.currentIdentity,
      deployment: this.options.deployment,
      timers: this.timers,
      random: new core.randomness.SeededRandomSource(this.random.drawInteger(0x7fffffff)),
      codec: this.options.codec,
      outbox: {
        post: (output) => {
          if (runs === this.runs && this.state !== 'dead') this.options.outbox(this, output);
        },
      },
      ...(this.options.rules === undefined ? {} : { rules: this.options.rules }),
    });
    this.scheduleWake();
  }

  /** Ends the process without notice. */
  kill(): void {
    this.state = 'dead';
    this.vm = undefined;
    this.pending = [];
    this.wakeAtMs = Infinity;
  }

  /** Pauses the process; inputs wait until it is thawed. */
  freeze(): void {
    if (this.state === 'running') this.state = 'frozen';
  }

  /** Resumes the process. Its clock jumps; missed timers and waiting inputs come in either order, as in an event loop. */
  thaw(): void {
    if (this.state !== 'frozen') return;
    this.state = 'running';
    const nowMs = this.options.queue.getNowMs();
    const { pending } = this;
    this.pending = [];
    this.timers.moveTo(nowMs);
    if (this.random.drawFraction() < 0.5) this.timers.advanceTo(nowMs);
    pending.forEach((input) => this.vm?.post(input));
    this.timers.advanceTo(nowMs);
    this.scheduleWake();
  }

  /**
   * Delivers an input to the process, or keeps it while the process is frozen.
   * @param input - Input to deliver.
   */
  deliver(input: core.vms.VmInput): void {
    if (this.state === 'frozen') this.pending.push(input);
    if (this.state !== 'running') return;
    this.timers.advanceTo(this.options.queue.getNowMs());
    this.vm?.post(input);
    this.scheduleWake();
  }

  // One event stands in the queue of the world for the earliest timer of the process.
  private scheduleWake(): void {
    const dueMs = this.timers.getNextDueMs() ?? Infinity;
    if (dueMs >= this.wakeAtMs || this.state !== 'running') return;
    this.wakeAtMs = dueMs;
    const { runs } = this;
    this.options.queue.schedule(dueMs - this.options.queue.getNowMs(), () => {
      if (runs === this.runs && this.wakeAtMs === dueMs) this.wakeAtMs = Infinity;
      if (runs !== this.runs || this.state !== 'running') return;
      this.timers.advanceTo(this.options.queue.getNowMs());
      this.scheduleWake();
    });
  }

  private buildIdentity(): core.vms.VmIdentity {
    const { index } = this.options;
    return {
      name: this.options.name,
      incarnation: `r${this.runs}${this.random.drawToken(6)}`,
      host: `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      port: 8_000,
      peerPort: 8_001,
      place: this.options.place,
    };
  }
}
