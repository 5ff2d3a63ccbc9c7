import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as forgetfulLedger from '../faults/ForgetfulLedger.js';
import * as looseRetryPolicy from '../faults/LooseRetryPolicy.js';
import * as optimisticInterpreter from '../faults/OptimisticInterpreter.js';
import * as rules from '../faults/rules.js';
import * as testVm from '../TestVm.js';

const OPERATIONS = 300;

const RESULTS = ['answered', 'late', 'refused', 'shed', 'reset', 'timed-out', 'truncated', 'mismatched'] as const;

interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

// Three VMs whose peer messages are lost, duplicated and reordered, and upstreams that fail in every way.
class Fleet {
  readonly runs = new Map<string, number>();

  readonly told: { readonly id: string; readonly outcome: core.contracts.Outcome }[] = [];

  private readonly timers = new core.time.VirtualTimerService();

  private readonly random: core.randomness.SeededRandomSource;

  private readonly vms: readonly testVm.TestVm[];

  private readonly seen = new Map<testVm.TestVm, { outputs: number; peers: number }>();

  private readonly ids = new Map<string, string>();

  private deliveries: Delivery[] = [];

  constructor(seed: number, vmRules: Partial<core.vms.VmRules>) {
    this.random = new core.randomness.SeededRandomSource(seed);
    this.vms = ['vm-1', 'vm-2', 'vm-3'].map((name) => new testVm.TestVm({
      timers: this.timers, name, rules: vmRules, slots: 20,
    }));
  }

  run(): void {
    Array.from({ length: OPERATIONS }, (_, index) => index).forEach((index) => this.scheduleOperation(index));
    Array.from({ length: 6_000 }, (_, step) => step * 10).forEach((nowMs) => {
      this.timers.advanceTo(nowMs);
      const due = this.deliveries.filter((delivery) => delivery.atMs <= nowMs);
      this.deliveries = this.deliveries.filter((delivery) => delivery.atMs > nowMs);
      due.forEach((delivery) => delivery.deliver());
      this.vms.forEach((vm) => this.collect(vm));
    });
  }

  private scheduleOperation(index: number): void {
    const id = this.vms[index % 3]!.buildId(`n${index}`);
    Array.from({ length: 1 + this.random.drawInteger(4) }, (_, copy) => copy).forEach((copy) => {
      const vm = this.random.pickItem([...this.vms])!;
      const requestId = `${index}-${copy}`;
      const atMs = index * 20 + this.random.drawInteger(3_000);
      this.ids.set(requestId, id);
      this.schedule(atMs, () => vm.sendOrder(requestId, id));
      if (this.random.drawFraction() < 0.2) this.schedule(atMs + this.random.drawInteger(500), () => vm.requests.post({ type: 'caller-gone', requestId }));
    });
  }

  private schedule(atMs: number, deliver: () => void): void {
    this.deliveries.push({ atMs, deliver });
  }

  private collect(vm: testVm.TestVm): void {
    const seen = this.seen.get(vm) ?? { outputs: 0, peers: 0 };
    this.seen.set(vm, { outputs: vm.outputs.length, peers: vm.peerMessages.length });
    vm.outputs.slice(seen.outputs).forEach((output) => {
      if (output.type === 'caller-answer') this.told.push({ id: this.ids.get(output.requestId)!, outcome: output.outcome });
      if (output.type === 'send-attempt') this.serve(vm, output);
      if (output.type === 'cancel-attempt') {
        const confirmation = 'silent';
        this.schedule(this.timers.getNowMs() + 50, () => vm.endAttempt({ type: 'cancelled', confirmation }, output.attemptId));
      }
    });
    vm.peerMessages.slice(seen.peers).forEach(({ to, message }) => this.relay(vm.name, to, message));
  }

  private relay(from: string, to: string, message: core.vms.PeerMessage): void {
    const target = this.vms.find((vm) => vm.name === to);
    const copies = this.random.drawFraction() < 0.2 ? 0 : 1 + this.random.drawInteger(2);
    Array.from({ length: copies }, () => this.schedule(this.timers.getNowMs() + this.random.drawInteger(800), () => {
      if (message.type === 'operation-forwarded') target?.requests.post({ ...message, type: 'forwarded', from });
      if (message.type === 'operation-ended') target?.requests.post({ ...message, type: 'forward-ended', from });
      if (message.type === 'operation-cancelled') target?.requests.post({ ...message, type: 'forward-cancelled', from });
    }));
  }

  private serve(vm: testVm.TestVm, attempt: Extract<core.vms.VmOutput, { type: 'send-attempt' }>): void {
    const { attemptId } = attempt;
    const id = attempt.request.operationId!;
    const result = this.random.pickItem(RESULTS)!;
    const isRun = result === 'answered' || result === 'late' || (result !== 'refused' && result !== 'shed' && this.random.drawFraction() < 0.7);
    if (isRun) this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    const endsAtMs = this.timers.getNowMs() + (result === 'late' ? 3_000 : this.random.drawInteger(600));
    const body = new TextEncoder().encode(id);
    this.schedule(endsAtMs, () => {
      if (result === 'reset' || result === 'truncated' || result === 'timed-out' || result === 'refused') vm.endAttempt({ type: result }, attemptId);
      else {
        const echo = result === 'mismatched' ? 'mismatched' : 'matched';
        vm.answerAttempt({ answer: { status: 200, headers: [], body }, echo, notRun: result === 'shed' ? 'shed' : undefined }, attemptId);
      }
    });
  }
}

function listViolations(seed: number, vmRules: Partial<core.vms.VmRules> = {}): readonly string[] {
  const fleet = new Fleet(seed, vmRules);
  fleet.run();
  vitest.expect(fleet.told.filter(({ outcome }) => outcome.type === 'answered').length).toBeGreaterThan(20);
  const twice = [...fleet.runs].filter(([, runs]) => runs > 1).map(([id]) => `twice ${id}`);
  const wrong = fleet.told.flatMap(({ id, outcome }) => {
    if (outcome.type === 'not-run') return fleet.runs.has(id) ? [`ran ${id}`] : [];
    return outcome.type === 'answered' && new TextDecoder().decode(outcome.answer.body) !== id ? [`other ${id}`] : [];
  });
  return [...twice, ...wrong];
}

vitest.describe('at most once over three VMs', () => {
  vitest.it.each([1, 2, 3, 4, 5])('holds with lost, duplicated and reordered peer messages, seed %i (guards against second executions)', (seed) => {
    vitest.expect(listViolations(seed)).toEqual([]);
  });

  vitest.it('finds planted faults (guards against a check that sees nothing)', () => {
    const retention = new core.contracts.AnswerRetention();
    const faults = [
      rules.buildCallerRules({ createRetryPolicy: () => new looseRetryPolicy.LooseRetryPolicy() }),
      rules.buildCallerRules({ createInterpreter: () => new optimisticInterpreter.OptimisticInterpreter() }),
      rules.buildContractRules({ createLedger: (epochs) => new forgetfulLedger.ForgetfulLedger({ epochs, retention, maxEntries: 1_000 }) }),
    ];
    faults.forEach((fault) => vitest.expect(listViolations(1, fault)).not.toEqual([]));
  });
});
