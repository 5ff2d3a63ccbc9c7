import * as core from '@tamarackferry/core';

/** Simulated outcome of one attempt. */
export interface Behaviour {
  readonly observation: core.upstreams.Observation;
  readonly latencyMs: number;
  readonly drain?: 'leaving';
}

/** Simulated attempt, as input of the function that computes its outcome. */
export interface Attempt {
  readonly instance: core.upstreams.InstanceAddress;
  readonly vmPlace: string;
  readonly nowMs: number;
  readonly random: core.randomness.RandomSource;
}

/** Options of a `PoolSimulation`; by default 1 VM sends 50 requests per second to 6 healthy instances. */
export interface SimulationOptions {
  readonly contract?: Partial<core.contracts.ServiceContract>;
  readonly rules?: core.upstreams.UpstreamRules;
  readonly vms?: number;
  readonly instances?: number;
  /** Requests per second of each VM. */
  readonly requestsPerSecond?: number;
  /** `lost`: no message between VMs arrives. */
  readonly peers?: 'connected' | 'lost';
  readonly seed?: number;
  readonly serve?: (attempt: Attempt) => Behaviour;
}

interface SimulatedVm {
  readonly name: string;
  readonly place: string;
  readonly task: core.upstreams.UpstreamTask;
  /** Names of the instances that this VM has ejected, according to its last notice to peers. */
  readonly ejected: Set<string>;
}

export const PLACES = ['a', 'b', 'c'];

/** Simulates a healthy instance: 1% of the attempts fail, and attempts from another place take 9 ms longer. */
export function serveHealthy(attempt: Attempt): Behaviour {
  const latencyMs = 20 * Math.exp(attempt.random.drawFraction() * 1.5) + (attempt.vmPlace === attempt.instance.place ? 0 : 9);
  return { observation: attempt.random.drawFraction() < 0.01 ? 'failed' : 'on-time', latencyMs };
}

/** Builds the list entries of live instances `i0`, `i1` and so on, spread over the places. */
export function buildEntries(count: number, overrides: Partial<core.vms.UpstreamListEntry> = {}): core.vms.UpstreamListEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    role: 'upstream', name: `i${index}`, service: 's', incarnation: 'x', host: 'h', port: index, place: PLACES[index % 3]!, state: 'live', ...overrides,
  }));
}

/** Builds the contract of the service `s`. */
export function buildContract(overrides: Partial<core.contracts.ServiceContract> = {}): core.contracts.ServiceContract {
  return {
    name: 's',
    floorInstances: 3,
    slotsPerInstance: 4,
    connectionsPerInstance: 100,
    detection: 'prompt',
    requestIdEcho: 'echoed',
    notRunAnswers: 'declared',
    answerDigest: 'absent',
    kinds: [],
    ...overrides,
  };
}

/** Builds the default rules with some methods replaced, to show that a test detects a faulty rule. */
export function buildRules(replaced: Partial<core.upstreams.UpstreamRules>): core.upstreams.UpstreamRules {
  return Object.assign(new core.upstreams.UpstreamRules(), replaced);
}

/** Simulates VMs that send requests to one service, in virtual time. Messages between VMs take 5 ms. */
export class PoolSimulation {
  readonly timers = new core.time.VirtualTimerService();

  readonly peerMessages: core.vms.PeerTaskMessage[] = [];

  readonly outputs: core.vms.VmOutput[] = [];

  /** Number of attempts by `instance/incarnation`. */
  readonly attempts = new Map<string, number>();

  /** Number of requests for which no instance was available. */
  unavailable = 0;

  readonly vms: readonly SimulatedVm[];

  serve: (attempt: Attempt) => Behaviour;

  private readonly random: core.randomness.RandomSource;

  private readonly options: SimulationOptions;

  private nextAttempt = 0;

  constructor(options: SimulationOptions = {}) {
    this.options = options;
    this.random = new core.randomness.SeededRandomSource(options.seed ?? 1);
    this.serve = options.serve ?? serveHealthy;
    this.vms = Array.from({ length: options.vms ?? 1 }, (_, index) => this.createVm(`v${index}`, PLACES[index % 3]!));
    this.postAll({ type: 'list', entries: buildEntries(options.instances ?? 6) });
  }

  postAll(message: core.upstreams.UpstreamMessage): void {
    this.vms.forEach((vm) => vm.task.post(message));
  }

  /** Advances the virtual time while the VMs send requests, and calls `check` every 250 ms. */
  runFor(durationMs: number, check: () => void = () => undefined): void {
    const endMs = this.timers.getNowMs() + durationMs;
    const periodMs = 1_000 / (this.options.requestsPerSecond ?? 50);
    this.vms.forEach((vm) => this.scheduleRequest(vm, periodMs, endMs));
    while (this.timers.getNowMs() < endMs) {
      this.timers.advanceTo(Math.min(endMs, this.timers.getNowMs() + 250));
      check();
    }
  }

  getStatus(name: string, vm = 0): core.upstreams.InstanceStatus | undefined {
    return this.vms[vm]!.task.getStatus().instances.find((each) => each.name === name);
  }

  listEjected(vm = 0): readonly string[] {
    return [...this.vms[vm]!.ejected];
  }

  /** Computes the mean weight of an instance over all VMs; the weight of an ejected instance is 0. */
  computeWeight(name: string): number {
    return this.vms.reduce((sum, _, vm) => sum + (this.getStatus(name, vm)?.weight ?? 0), 0) / this.vms.length;
  }

  /** Creates the task dependencies of one VM. Only messages to peers are delivered. */
  createContext(name: string, place: string, ejected = new Set<string>()): core.vms.VmContext {
    const ignore = { post: () => undefined };
    return {
      identity: {
        name, incarnation: 'x', host: 'h', port: 1, peerPort: 2, place,
      },
      deployment: 'test',
      scheduler: new core.tasks.TaskScheduler(),
      timers: this.timers,
      random: this.random,
      codec: {} as core.contracts.DocumentCodec,
      outbox: { post: (output) => this.handleOutput(name, output) },
      mailboxes: {
        requests: ignore,
        addresses: ignore,
        evidence: ignore,
        ledger: ignore,
        configuration: ignore,
        upstreams: ignore,
        lifecycle: ignore,
        peers: { post: (message) => this.relay(name, place, ejected, message) },
      },
      rules: {
        callers: new core.callers.CallerRules(),
        contracts: new core.contracts.ContractRules(),
        upstreams: this.options.rules ?? buildRules({}),
        peers: new core.vms.PeerRules(),
      },
      seedPeers: [],
      addressValidityMs: 1_000,
    };
  }

  /** Acquires an instance for a request of a VM, and simulates the attempt if one is assigned. */
  sendRequest(vm = 0, excluded: readonly string[] = []): core.upstreams.AcquireReply | undefined {
    const { name, place, task } = this.vms[vm]!;
    const attemptId = `${name}/${this.nextAttempt}`;
    this.nextAttempt += 1;
    const replies: (core.upstreams.AcquireReply | core.upstreams.CapacityFreed)[] = [];
    task.post({
      type: 'acquire', attemptId, excluded, replyTo: { post: (reply) => replies.push(reply) },
    });
    const reply = replies[0] as core.upstreams.AcquireReply;
    if (reply.type !== 'assigned') {
      this.unavailable += 1;
      return reply;
    }
    const key = `${reply.instance.name}/${reply.instance.incarnation}`;
    this.attempts.set(key, (this.attempts.get(key) ?? 0) + 1);
    const nowMs = this.timers.getNowMs();
    const { observation, latencyMs, drain } = this.serve({
      instance: reply.instance, vmPlace: place, nowMs, random: this.random,
    });
    this.timers.subscribe({
      mailbox: task,
      message: {
        type: 'observed', attemptId, observation, latencyMs, load: undefined, drain,
      },
      delayMs: latencyMs,
    });
    return reply;
  }

  private scheduleRequest(vm: SimulatedVm, periodMs: number, endMs: number): void {
    const delayMs = -Math.log(1 - this.random.drawFraction()) * periodMs;
    if (this.timers.getNowMs() + delayMs >= endMs) return;
    this.timers.subscribe({
      mailbox: {
        post: () => {
          this.sendRequest(this.vms.indexOf(vm));
          this.scheduleRequest(vm, periodMs, endMs);
        },
      },
      message: undefined,
      delayMs,
    });
  }

  private createVm(name: string, place: string): SimulatedVm {
    const ejected = new Set<string>();
    const context = this.createContext(name, place, ejected);
    const contract = buildContract(this.options.contract);
    const task = new core.upstreams.UpstreamTask({ context, contract });
    return {
      name, place, task, ejected,
    };
  }

  private handleOutput(vm: string, output: core.vms.VmOutput): void {
    this.outputs.push(output);
    if (output.type !== 'send-probe') return;
    // Instances with a gray failure answer health probes correctly.
    this.deliver(vm, { type: 'probe-ended', instance: output.instance.name, result: { type: 'healthy', latencyMs: 25, load: undefined } }, 25);
  }

  private relay(from: string, place: string, ejected: Set<string>, message: core.vms.PeerTaskMessage): void {
    this.peerMessages.push(message);
    if (message.type === 'ejections-changed') {
      ejected.clear();
      message.notice.instances.forEach((name) => ejected.add(name));
    }
    if (this.options.peers === 'lost') return;
    const others = this.vms.filter((vm) => vm.name !== from).map((vm) => vm.name);
    if (message.type === 'ejections-changed') {
      others.forEach((to) => this.deliver(to, { type: 'peer-ejections', from, instances: message.notice.instances }, 5));
    } else if (message.type === 'push' && message.message.type === 'drain') {
      const { notices } = message.message;
      others.forEach((to) => this.deliver(to, { type: 'drain', notices }, 5));
    } else if (message.type === 'send-to-fronting' && message.message.type === 'evidence-requested') {
      const { instances } = message.message;
      others.forEach((to) => this.deliver(to, { type: 'evidence-requested', from, instances }, 5));
    } else if (message.type === 'send' && message.message.type === 'evidence') {
      this.deliver(message.to, {
        type: 'evidence-reported', from, place, rows: message.message.rows,
      }, 5);
    }
  }

  private deliver(to: string, message: core.upstreams.UpstreamMessage, delayMs: number): void {
    const vm = this.vms.find((each) => each.name === to);
    if (vm !== undefined) this.timers.subscribe({ mailbox: vm.task, message, delayMs });
  }
}
