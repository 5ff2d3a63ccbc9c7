import * as core from '@tamarackferry/core';

import * as pausableTimerService from './PausableTimerService.js';

const KEYS = core.contracts.DocumentKeys.fromText('fleet-test');
const KIND = {
  name: 'read', method: 'GET', path_prefix: '/', repeatability: 'idempotent', priority: 'interactive', weight: 1, deadline_ms: 2_000, on_time_ms: 500,
} as const;

/** VM of a test fleet, with its recorded outputs. */
export interface FleetNode {
  readonly identity: core.vms.VmIdentity;
  readonly vm: core.vms.Vm;
  readonly timers: pausableTimerService.PausableTimerService;
  readonly outputs: core.vms.VmOutput[];
  /** Documents that the VM accepted, with the times of acceptance. */
  readonly accepted: { readonly reference: core.contracts.DocumentReference; readonly atMs: number }[];
  sentBytes: number;
  state: 'running' | 'dead';
}

/** Fault rates and delays of the links between the VMs of a test fleet. */
export interface FleetFaults {
  loss: number;
  duplication: number;
  delayMs: number;
  jitterMs: number;
}

/** VMs with one virtual clock, connected by links that can lose, delay, duplicate and reorder messages or fail in one direction. */
export class TestFleet {
  readonly timers = new core.time.VirtualTimerService();

  readonly random: core.randomness.SeededRandomSource;

  readonly nodes: FleetNode[] = [];

  readonly faults: FleetFaults = {
    loss: 0, duplication: 0, delayMs: 5, jitterMs: 5,
  };

  /** Faulty links as `sender>receiver`, on which all messages are lost. */
  readonly cuts = new Set<string>();

  constructor(seed: number, private readonly rules: Partial<core.vms.VmRules> = {}) {
    this.random = new core.randomness.SeededRandomSource(seed);
  }

  /** Builds a sealed document. Texts with different notes have different digests. */
  static buildText(version: number, deployment = 'test', note = ''): string {
    return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode({
      format: 1,
      deployment,
      version,
      base_digest: note === '' ? '' : note.repeat(64),
      places: ['a', 'b', 'c'].map((name) => ({ name, region: 'r' })),
      services: ['orders', 'desk'].map((name) => ({
        name,
        floor_instances: 12,
        slots_per_instance: 4,
        connections_per_instance: 10,
        detection: 'cautious' as const,
        request_id_echo: 'echoed' as const,
        not_run_answers: 'declared' as const,
        answer_digest: 'absent' as const,
        kinds: [KIND, {
          ...KIND, name: 'order', method: 'POST', repeatability: 'non-idempotent' as const, weight: 5,
        }],
      })),
      members: [
        {
          name: 'museum', counting: 'weighted-on-time', share: 1, key_digest: '',
        },
        {
          name: 'counter', counting: 'lookups-on-time', share: 1, key_digest: '',
        },
      ],
    }), KEYS.privateKey);
  }

  /** Starts a fleet in which every VM has read the list and version 1. */
  static start(count: number, seed: number, rules: Partial<core.vms.VmRules> = {}): TestFleet {
    const fleet = new TestFleet(seed, rules);
    Array.from({ length: count }, (_, index) => fleet.addNode(`vm-${index}`));
    fleet.publishList();
    fleet.publish(1);
    fleet.advanceBy(4_000);
    return fleet;
  }

  addNode(name: string, seedPeers: readonly core.vms.EntryVmListEntry[] = []): FleetNode {
    const index = Number(name.replace(/\D/g, ''));
    const identity = {
      name, incarnation: this.random.drawToken(12), host: `10.0.0.${index}`, port: 8_080, peerPort: 8_081, place: 'abc'[index % 3]!,
    };
    const timers = new pausableTimerService.PausableTimerService(this.timers);
    const outputs: core.vms.VmOutput[] = [];
    const node: FleetNode = {
      identity,
      timers,
      outputs,
      accepted: [],
      sentBytes: 0,
      state: 'running',
      vm: new core.vms.Vm({
        identity,
        deployment: 'test',
        timers,
        random: new core.randomness.SeededRandomSource(this.random.drawInteger(2 ** 30)),
        codec: new core.contracts.TomlDocumentCodec(KEYS.publicKey),
        outbox: { post: (output) => this.receiveOutput(node, output) },
        seedPeers,
        rules: this.rules,
      }),
    };
    const previous = this.nodes.findIndex((other) => other.identity.name === name);
    if (previous < 0) this.nodes.push(node);
    else this.nodes[previous] = node;
    return node;
  }

  listEntries(): core.vms.EntryVmListEntry[] {
    return this.nodes.map(({ identity }) => ({ ...identity, role: 'entry', state: 'live' }));
  }

  publishList(nodes: readonly FleetNode[] = this.nodes): void {
    const entries = this.listEntries();
    nodes.forEach((node) => node.vm.post({ type: 'list-read', entries }));
  }

  publish(version: number, nodes: readonly FleetNode[] = this.nodes, note = ''): void {
    const text = TestFleet.buildText(version, 'test', note);
    nodes.forEach((node) => node.vm.post({ type: 'configuration-read', text }));
  }

  advanceBy(ms: number): void {
    this.timers.advanceTo(this.timers.getNowMs() + ms);
  }

  /** Stops a VM without a leaving announcement. */
  kill(node: FleetNode): void {
    // eslint-disable-next-line no-param-reassign -- the fleet owns its nodes
    node.state = 'dead';
    node.timers.pause();
  }

  getStatus(node: FleetNode): core.vms.VmStatus {
    node.vm.post({ type: 'status-query', queryId: 'status' });
    return (node.outputs.at(-1) as Extract<core.vms.VmOutput, { type: 'status-answer' }>).status;
  }

  getAddresses(node: FleetNode, service = 'orders'): core.vms.AddressAnswer {
    node.vm.post({ type: 'address-query', queryId: 'address', service });
    return (node.outputs.at(-1) as Extract<core.vms.VmOutput, { type: 'address-answer' }>).answer;
  }

  listStates(name: string): (string | undefined)[] {
    return this.nodes.filter((node) => node.identity.name !== name && node.state === 'running').map((node) => this.getStatus(node)
      .peers.peers.find((peer) => peer.identity.name === name)?.state);
  }

  send(
    to: core.vms.VmIdentity,
    envelope: core.vms.PeerEnvelope,
    delayMs = this.faults.delayMs + this.random.drawInteger(this.faults.jitterMs + 1),
  ): void {
    this.timers.subscribe({
      mailbox: {
        post: () => {
          const node = this.nodes.find((other) => other.identity.host === to.host);
          node?.timers.run(() => node.vm.post({ type: 'peer-envelope', envelope }));
        },
      },
      message: undefined,
      delayMs,
    });
  }

  private receiveOutput(node: FleetNode, output: core.vms.VmOutput): void {
    if (output.type !== 'send-peer') node.outputs.push(output);
    if (output.type === 'document-accepted') node.accepted.push({ reference: output.reference, atMs: this.timers.getNowMs() });
    if (output.type !== 'send-peer') return;
    // eslint-disable-next-line no-param-reassign -- the fleet owns its nodes
    node.sentBytes += JSON.stringify(output.envelope).length;
    if (node.state === 'dead' || this.cuts.has(`${node.identity.name}>${output.to.name}`)) return;
    const copies = this.random.drawFraction() < this.faults.duplication ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      if (this.random.drawFraction() >= this.faults.loss) this.send(output.to, output.envelope);
    });
  }
}
