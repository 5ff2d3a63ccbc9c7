import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as testFleet from '../vms/TestFleet.js';
import * as unfilteredAddressSelectionPolicy from './UnfilteredAddressSelectionPolicy.js';

const { TestFleet } = testFleet;
const { expect } = vitest;

function listAddressedVms(fleet: testFleet.TestFleet, node: testFleet.FleetNode, service = 'orders'): string[] {
  const answer = fleet.getAddresses(node, service);
  return answer.type === 'addresses' ? answer.addresses.map((address) => address.vm) : [answer.type];
}

function listAllAddressedVms(fleet: testFleet.TestFleet): Set<string> {
  return new Set(fleet.nodes.flatMap((node) => Array.from({ length: 8 }, () => ['orders', 'desk'].flatMap((service) => listAddressedVms(fleet, node, service))).flat()));
}

// Stops a VM while a fifth of the peer messages is lost. Returns whether any VM lists it after 5 s (1 or 0), the time until it has
// stopped, and its own answer as far as it lists itself.
function measureShutdown(rules: Partial<core.vms.VmRules>): { listed: number; stoppedMs: number; ownListings: string[] } {
  const fleet = TestFleet.start(48, 67, rules);
  const leavingNode = fleet.nodes.find((node) => listAllAddressedVms(fleet).has(node.identity.name))!;
  const { name } = leavingNode.identity;
  fleet.faults.loss = 0.2;
  leavingNode.vm.post({ type: 'stop' });
  const ownListings = listAddressedVms(fleet, leavingNode);
  const stopSentAtMs = fleet.timers.getNowMs();
  fleet.advanceBy(5_000);
  const listed = listAllAddressedVms(fleet).has(name) ? 1 : 0;
  const isStopped = () => leavingNode.outputs.some((output) => output.type === 'stopped');
  // Fails the test instead of looping forever if the VM has not stopped after 30 s.
  while (!isStopped() && fleet.timers.getNowMs() < stopSentAtMs + 30_000) fleet.advanceBy(100);
  return { listed, stoppedMs: fleet.timers.getNowMs() - stopSentAtMs, ownListings: ownListings.filter((vm) => vm === name) };
}

vitest.describe('AddressTask', () => {
  vitest.it('lists 6 of the same 12 VMs, from all places and in random order (guards against uneven load, and against too few requests per VM for health detection)', () => {
    const fleet = TestFleet.start(48, 71);
    fleet.advanceBy(15_000);
    const answers = fleet.nodes.map((node) => listAddressedVms(fleet, node));
    answers.forEach((addressedVms) => {
      expect(new Set(addressedVms).size).toBe(6);
      expect(new Set(addressedVms.map((name) => Number(name.slice(3)) % 3)).size).toBe(3);
    });
    expect(new Set(answers.flat()).size).toBe(12);
    expect(new Set(answers.map((addressedVms) => addressedVms[0])).size).toBeGreaterThan(8);
    expect(fleet.getAddresses(fleet.nodes[0]!, 'other').type).toBe('unknown-service');
  });

  vitest.it('stops listing a leaving VM within 5 s and keeps the VM running for the address validity (guards against callers that connect to a stopped VM)', () => {
    const result = measureShutdown({});
    expect(result).toMatchObject({ listed: 0, ownListings: [] });
    expect(result.stoppedMs).toBeGreaterThanOrEqual(10_000);
    expect(result.stoppedMs).toBeLessThan(20_000);
    const createAddressSelectionPolicy = (
      random: core.randomness.RandomSource,
    ) => new unfilteredAddressSelectionPolicy.UnfilteredAddressSelectionPolicy(random);
    expect(measureShutdown({ callers: Object.assign(new core.callers.CallerRules(), { createAddressSelectionPolicy }) }).listed).toBe(1);
  });

  vitest.it('lists itself when it has no reachable peer, unless it is leaving (guards against a healthy VM that answers `not-ready`)', () => {
    const fleet = new TestFleet(73);
    const node = fleet.addNode('vm-0');
    expect(listAddressedVms(fleet, node)).toEqual(['not-ready']);
    fleet.publishList();
    fleet.publish(1);
    expect(listAddressedVms(fleet, node)).toEqual(['vm-0']);
    node.vm.post({ type: 'stop' });
    expect(listAddressedVms(fleet, node)).toEqual(['not-ready']);
  });

  vitest.it('lists only other VMs while it is starting (guards against callers that connect to a VM that is not ready)', () => {
    const fleet = TestFleet.start(6, 79);
    const startingNode = fleet.addNode('vm-30');
    fleet.publishList([startingNode]);
    expect(listAddressedVms(fleet, startingNode)).toHaveLength(6);
    expect(listAddressedVms(fleet, startingNode)).not.toContain('vm-30');
  });
});
