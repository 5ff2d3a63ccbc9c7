import * as core from '@tamarackferry/core';

import * as fleetFixture from './FleetFixture.js';

const STEP_MS = 10;
// Each peer sends two exchanges a second to random peers, so a VM gets two a second on average, whatever the size.
const EXCHANGES_PER_SECOND = 2;
const WARM_UP_MS = 5_000;
const SERVICE_TIME_MS = 10;

/** Cost of one VM for control and requests over a run. */
export interface VmCost {
  readonly controlCpuShare: number;
  readonly controlBytesPerSecond: number;
  readonly heapBytes: number;
  readonly requestCpuMicroseconds: number;
}

/** Runs the decisions of one VM among peers that answer every exchange, and measures what they cost. */
export class MeasuredVm {
  private readonly timers = new core.time.VirtualTimerService();

  private readonly random = new core.randomness.SeededRandomSource(1);

  private readonly vm: core.vms.Vm;

  private sentBytes = 0;

  private sequence = 0;

  private answered = 0;

  private document: core.contracts.DocumentReference | undefined;

  private readonly pending: core.vms.VmInput[] = [];

  /** @param fixture - Fleet around the VM. */
  constructor(private readonly fixture: fleetFixture.FleetFixture) {
    this.vm = new core.vms.Vm({
      identity: fleetFixture.FleetFixture.buildIdentity(0),
      deployment: 'bench',
      timers: this.timers,
      random: this.random,
      codec: fixture.createCodec(),
      outbox: { post: (output) => this.handleOutput(output) },
    });
  }

  /** Delivers the list and the first document and runs until the VM serves. */
  start(): void {
    this.vm.post({ type: 'list-read', entries: this.fixture.buildList() });
    this.vm.post({ type: 'configuration-read', text: this.fixture.buildDocument(1) });
    this.runUntil(WARM_UP_MS);
  }

  /**
   * Measures control without requests.
   * @param seconds - Virtual time to run.
   */
  measureControl(seconds: number): Pick<VmCost, 'controlCpuShare' | 'controlBytesPerSecond'> {
    const { changesPerMinute } = this.fixture.size;
    const count = Math.floor(changesPerMinute * (seconds / 60));
    const changes = Array.from({ length: count }, (_, index) => this.fixture.buildDocument(index + 2));
    const startMs = this.timers.getNowMs();
    this.sentBytes = 0;
    const cpu = process.cpuUsage();
    changes.forEach((text, index) => {
      this.runUntil(startMs + (index * seconds * 1_000) / changes.length);
      this.vm.post({ type: 'configuration-read', text });
    });
    this.runUntil(startMs + seconds * 1_000);
    const spent = process.cpuUsage(cpu);
    return {
      controlCpuShare: (spent.user + spent.system) / (seconds * 1_000_000),
      controlBytesPerSecond: this.sentBytes / seconds,
    };
  }

  /**
   * Measures the processor time of one request in the decisions.
   * @param requests - Number of requests.
   */
  measureRequests(requests: number): Pick<VmCost, 'requestCpuMicroseconds'> {
    this.answered = 0;
    const cpu = process.cpuUsage();
    Array.from({ length: requests }).forEach((_, index) => {
      this.vm.post({
        type: 'caller-request',
        requestId: `r${index}`,
        request: {
          service: `service-${index % this.fixture.size.services}`,
          method: 'GET',
          path: '/',
          headers: [],
          body: new Uint8Array(),
          digest: '',
          member: `member-${index % this.fixture.size.members}`,
          deadlineMs: undefined,
          operationId: undefined,
        },
      });
      if (index % 10 === 9) this.runUntil(this.timers.getNowMs() + SERVICE_TIME_MS);
    });
    this.runUntil(this.timers.getNowMs() + 1_000);
    const spent = process.cpuUsage(cpu);
    return { requestCpuMicroseconds: (spent.user + spent.system) / Math.max(1, this.answered) };
  }

  private runUntil(toMs: number): void {
    for (let nowMs = this.timers.getNowMs(); nowMs < toMs; nowMs += STEP_MS) {
      this.pending.splice(0).forEach((input) => this.vm.post(input));
      if (this.random.drawFraction() < (EXCHANGES_PER_SECOND * STEP_MS) / 1_000) this.sendExchange(this.drawPeer(), 'request');
      this.timers.advanceTo(nowMs + STEP_MS);
    }
  }

  private drawPeer(): core.vms.VmIdentity {
    return fleetFixture.FleetFixture.buildIdentity(1 + this.random.drawInteger(Math.max(1, this.fixture.size.vms - 1)));
  }

  private sendExchange(from: core.vms.VmIdentity, direction: 'request' | 'reply'): void {
    this.sequence += 1;
    this.pending.push({
      type: 'peer-envelope',
      envelope: {
        format: core.vms.PEER_FORMAT_VERSION,
        from,
        sequence: this.sequence,
        message: {
          type: 'exchange', direction, document: this.document, state: 'serving', drains: [], ejections: [], peers: [this.drawPeer(), this.drawPeer()],
        },
      },
    });
  }

  private handleOutput(output: core.vms.VmOutput): void {
    switch (output.type) {
      case 'document-accepted':
        this.document = output.reference;
        break;
      case 'caller-answer':
        this.answered += 1;
        break;
      case 'send-peer':
        this.sentBytes += JSON.stringify(output.envelope).length;
        if (output.envelope.message.type === 'exchange' && output.envelope.message.direction === 'request') this.sendExchange(output.to, 'reply');
        break;
      case 'send-attempt':
        this.pending.push({
          type: 'attempt-ended',
          attemptId: output.attemptId,
          result: {
            type: 'answered',
            answer: { status: 200, headers: [], body: new Uint8Array() },
            echo: 'matched',
            notRun: undefined,
            drain: undefined,
            load: 1,
          },
        });
        break;
      default:
        break;
    }
  }
}
