import * as core from '@tamarackferry/core';

import * as testVm from './TestVm.js';

const OPERATION_COUNT = 300;

// Time at which the last VM is replaced by a new incarnation.
const RESTART_MS = 4_000;

const RESTARTED_INDEX = 2;

const ATTEMPT_RESULTS = ['answered', 'late', 'refused', 'shed', 'reset', 'timed-out', 'truncated', 'mismatched'] as const;

interface Delivery {
  readonly atMs: number;
  readonly index: number;
  readonly deliver: (vm: testVm.TestVm) => void;
}

/**
 * Simulates the request and ledger tasks of three VMs. The VMs pause, one of them is replaced, peer messages are unreliable and the
 * upstreams fail in every possible way.
 */
export class TestFleet {
  /** Number of executions by operation id. */
  readonly runCounts = new Map<string, number>();

  /** Outcomes that callers received, with the operation id of their request. */
  readonly deliveredOutcomes: { readonly id: string; readonly outcome: core.contracts.Outcome }[] = [];

  /** Number of attempts that were sent after their deadline. */
  lateAttemptCount = 0;

  private nowMs = 0;

  private readonly random: core.randomness.SeededRandomSource;

  readonly vms: testVm.TestVm[];

  private readonly processedCounts = new Map<testVm.TestVm, { outputs: number; peers: number }>();

  private readonly ids = new Map<string, string>();

  private deliveries: Delivery[] = [];

  constructor(seed: number, private readonly vmRules: Partial<core.vms.VmRules>) {
    this.random = new core.randomness.SeededRandomSource(seed);
    this.vms = ['vm-1', 'vm-2', 'vm-3'].map((name) => new testVm.TestVm({
      name, rules: this.vmRules, slots: 20,
    }));
  }

  run(): void {
    Array.from({ length: OPERATION_COUNT }, (_, index) => index).forEach((index) => this.scheduleOperation(index));
    Array.from({ length: 6_000 }, (_, step) => step * 10).forEach((nowMs) => {
      this.nowMs = nowMs;
      this.vms.forEach((vm, index) => this.advance(vm, index));
    });
  }

  // Each VM pauses for 2 s in every 7 s. Messages that arrived during a pause are handled before expired timers.
  private advance(vm: testVm.TestVm, index: number): void {
    if (this.nowMs === RESTART_MS && index === RESTARTED_INDEX) {
      this.vms[index] = new testVm.TestVm({
        name: vm.name, incarnation: `${vm.name}y`, rules: this.vmRules, slots: 20, timers: new core.time.VirtualTimerService(this.nowMs),
      });
      return;
    }
    vm.timers.moveTo(this.nowMs);
    if ((this.nowMs + index * 2_500) % 7_000 >= 5_000) return;
    const isDue = (delivery: Delivery): boolean => delivery.index === index && delivery.atMs <= this.nowMs;
    const due = this.deliveries.filter(isDue);
    this.deliveries = this.deliveries.filter((delivery) => !isDue(delivery));
    due.forEach((delivery) => delivery.deliver(vm));
    vm.timers.advanceTo(this.nowMs);
    this.collect(vm);
  }

  private scheduleOperation(index: number): void {
    const home = index % 3;
    const oldId = this.vms[home]!.buildId(`n${index}`);
    const id = home === RESTARTED_INDEX && index * 20 > RESTART_MS ? `vm-3.vm-3y.0.n${index}` : oldId;
    Array.from({ length: 1 + this.random.drawInteger(4) }, (_, copy) => copy).forEach((copy) => {
      const vm = this.random.drawInteger(this.vms.length);
      const requestId = `${index}-${copy}`;
      const atMs = index * 20 + this.random.drawInteger(3_000);
      this.ids.set(requestId, id);
      this.schedule(vm, atMs, (receiver) => receiver.sendOrder(requestId, id));
      if (this.random.drawFraction() < 0.2) {
        this.schedule(vm, atMs + this.random.drawInteger(500), (receiver) => receiver.requests.post({ type: 'caller-gone', requestId }));
      }
    });
  }

  private schedule(index: number, atMs: number, deliver: Delivery['deliver']): void {
    this.deliveries.push({ index, atMs, deliver });
  }

  // The replacement of a VM receives no results of attempts that its predecessor sent.
  private scheduleResult(owner: testVm.TestVm, atMs: number, deliver: () => void): void {
    this.schedule(this.vms.indexOf(owner), atMs, (vm) => vm === owner && deliver());
  }

  private collect(vm: testVm.TestVm): void {
    const processedCounts = this.processedCounts.get(vm) ?? { outputs: 0, peers: 0 };
    this.processedCounts.set(vm, { outputs: vm.outputs.length, peers: vm.peerMessages.length });
    vm.outputs.slice(processedCounts.outputs).forEach((output) => {
      if (output.type === 'caller-answer') this.deliveredOutcomes.push({ id: this.ids.get(output.requestId)!, outcome: output.outcome });
      if (output.type === 'send-attempt') this.serve(vm, output);
      if (output.type === 'cancel-attempt') {
        const confirmation = 'silent';
        this.scheduleResult(vm, this.nowMs + 50, () => vm.endAttempt({ type: 'cancelled', confirmation }, output.attemptId));
      }
    });
    vm.peerMessages.slice(processedCounts.peers).forEach(({ to, message }) => this.relay(vm.name, to, message));
  }

  private relay(from: string, to: string, message: core.vms.PeerMessage): void {
    const index = this.vms.findIndex((vm) => vm.name === to);
    const copies = this.random.drawFraction() < 0.2 ? 0 : 1 + this.random.drawInteger(2);
    Array.from({ length: copies }, () => this.schedule(index, this.nowMs + this.random.drawInteger(800), (target) => {
      if (message.type === 'operation-forwarded') target.requests.post({ ...message, type: 'forwarded', from });
      if (message.type === 'operation-ended') target.requests.post({ ...message, type: 'forward-ended', from });
      if (message.type === 'operation-cancelled') target.requests.post({ ...message, type: 'forward-cancelled', from });
    }));
  }

  private serve(vm: testVm.TestVm, attempt: Extract<core.vms.VmOutput, { type: 'send-attempt' }>): void {
    const { attemptId } = attempt;
    const id = attempt.request.operationId!;
    const result = this.random.pickItem(ATTEMPT_RESULTS)!;
    const isExecuted = result === 'answered' || result === 'late' || (result !== 'refused' && result !== 'shed' && this.random.drawFraction() < 0.7);
    if (isExecuted) this.runCounts.set(id, (this.runCounts.get(id) ?? 0) + 1);
    if (attempt.deadlineMs <= 0) this.lateAttemptCount += 1;
    const endsAtMs = this.nowMs + (result === 'late' ? 3_000 : this.random.drawInteger(600));
    const body = new TextEncoder().encode(id);
    this.scheduleResult(vm, endsAtMs, () => {
      if (result === 'reset' || result === 'truncated' || result === 'timed-out' || result === 'refused') vm.endAttempt({ type: result }, attemptId);
      else {
        const echo = result === 'mismatched' ? 'mismatched' : 'matched';
        vm.answerAttempt({ answer: { status: 200, headers: [], body }, echo, notRun: result === 'shed' ? 'shed' : undefined }, attemptId);
      }
    });
  }
}
