import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as testFleet from '../vms/TestFleet.js';
import * as unfilteredAddressSelectionPolicy from './UnfilteredAddressSelectionPolicy.js';

const { TestFleet } = testFleet;
const { expect } = vitest;

function listNamed(fleet: testFleet.TestFleet, node: testFleet.FleetNode, service = 'orders'): string[] {
  const answer = fleet.getAddresses(node, service);
  return answer.type === 'addresses' ? answer.addresses.map((address) => address.vm) : [answer.type];
}

function listAllNamed(fleet: testFleet.TestFleet): Set<string> {
  return new Set(fleet.nodes.flatMap((node) => Array.from({ length: 8 }, () => ['orders', 'desk'].flatMap((service) => listNamed(fleet, node, service))).flat()));
}

function measureLeaving(rules: Partial<core.vms.VmRules>): { named: number; stoppedMs: number; ownAnswer: string[] } {
  const fleet = TestFleet.start(48, 67, rules);
  const leaving = fleet.nodes.find((node) => listAllNamed(fleet).has(node.identity.name))!;
  const { name } = leaving.identity;
  fleet.faults.loss = 0.2;
  leaving.vm.post({ type: 'stop' });
  const ownAnswer = listNamed(fleet, leaving);
  const beganMs = fleet.timers.getNowMs();
  fleet.advanceBy(5_000);
  const named = listAllNamed(fleet).has(name) ? 1 : 0;
  const isStopped = () => leaving.outputs.some((output) => output.type === 'stopped');
  // Fails the test instead of looping forever if the VM has not stopped after 30 s.
  while (!isStopped() && fleet.timers.getNowMs() < beganMs + 30_000) fleet.advanceBy(100);
  return { named, stoppedMs: fleet.timers.getNowMs() - beganMs, ownAnswer: ownAnswer.filter((vm) => vm === name) };
}

vitest.describe('AddressTask', () => {
  vitest.it('lists 6 of the same 12 VMs, from all places and in random order (guards against uneven load, and against too few requests per VM for health detection)', () => {
    const fleet = TestFleet.start(48, 71);
    fleet.advanceBy(15_000);
    const answers = fleet.nodes.map((node) => listNamed(fleet, node));
    answers.forEach((names) => {
      expect(new Set(names).size).toBe(6);
      expect(new Set(names.map((name) => Number(name.slice(3)) % 3)).size).toBe(3);
    });
    expect(new Set(answers.flat()).size).toBe(12);
    expect(new Set(answers.map((names) => names[0])).size).toBeGreaterThan(8);
    expect(fleet.getAddresses(fleet.nodes[0]!, 'other').type).toBe('unknown-service');
  });

  vitest.it('stops listing a leaving VM within 5 s and keeps the VM running for the address validity (guards against callers that connect to a stopped VM)', () => {
    const result = measureLeaving({});
    expect(result).toMatchObject({ named: 0, ownAnswer: [] });
    expect(result.stoppedMs).toBeGreaterThanOrEqual(10_000);
    expect(result.stoppedMs).toBeLessThan(20_000);
    const createAddressSelectionPolicy = (
      random: core.randomness.RandomSource,
    ) => new unfilteredAddressSelectionPolicy.UnfilteredAddressSelectionPolicy(random);
    expect(measureLeaving({ callers: Object.assign(new core.callers.CallerRules(), { createAddressSelectionPolicy }) }).named).toBe(1);
  });

  vitest.it('lists itself when it has no reachable peer, unless it is leaving (guards against a healthy VM that answers `not-ready`)', () => {
    const fleet = new TestFleet(73);
    const node = fleet.addNode('vm-0');
    expect(listNamed(fleet, node)).toEqual(['not-ready']);
    fleet.publishList();
    fleet.publish(1);
    expect(listNamed(fleet, node)).toEqual(['vm-0']);
    node.vm.post({ type: 'stop' });
    expect(listNamed(fleet, node)).toEqual(['not-ready']);
  });

  vitest.it('lists only other VMs while it is starting (guards against callers that connect to a VM that is not ready)', () => {
    const fleet = TestFleet.start(6, 79);
    const fresh = fleet.addNode('vm-30');
    fleet.publishList([fresh]);
    expect(listNamed(fleet, fresh)).toHaveLength(6);
    expect(listNamed(fleet, fresh)).not.toContain('vm-30');
  });
});
