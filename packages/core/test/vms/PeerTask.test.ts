import * as core from '@tamarackferry/core';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';

import * as directOnlyReachabilityDetector from '../links/DirectOnlyReachabilityDetector.js';
import * as countingDrainNoticeStore from './CountingDrainNoticeStore.js';
import * as immediateIncarnationPolicy from './ImmediateIncarnationPolicy.js';
import * as nonRelayingDrainNoticeStore from './NonRelayingDrainNoticeStore.js';
import * as testFleet from './TestFleet.js';

const { TestFleet } = testFleet;
const { expect } = vitest;

function buildRules(replaced: Partial<core.vms.PeerRules>): Partial<core.vms.VmRules> {
  return { peers: Object.assign(new core.vms.PeerRules(), replaced) };
}

const NOTICE = { service: 'orders', instance: 'orders-1', incarnation: 'i1' };

/** Counts the VMs of 48 that receive a drain notice within 5 s at 30% loss, after it was sent to one of them. */
function countInformedStores(faulty: 'faulty' | 'correct', seed: number): number {
  const informed = new Set<core.vms.DrainNoticeStore>();
  const Store = faulty === 'faulty' ? nonRelayingDrainNoticeStore.NonRelayingDrainNoticeStore : countingDrainNoticeStore.CountingDrainNoticeStore;
  const fleet = TestFleet.start(48, seed, buildRules({ createDrainNoticeStore: () => new Store(informed) }));
  fleet.faults.loss = 0.3;
  fleet.faults.duplication = 0.2;
  fleet.send(fleet.nodes[0]!.identity, {
    format: 1, from: fleet.nodes[1]!.identity, sequence: 1_000_000, message: { type: 'drain', notices: [NOTICE] },
  });
  fleet.advanceBy(5_000);
  return informed.size;
}

/** Counts the VMs whose record of vm-3 is its new incarnation, and those that revert to the old one when its delayed messages arrive. */
function measureStaleIncarnation(rules: Partial<core.vms.VmRules>): { current: number; stale: number } {
  const fleet = TestFleet.start(12, 7, rules);
  const old = fleet.nodes[3]!;
  fleet.kill(old);
  const replacement = fleet.addNode('vm-3');
  fleet.publishList([replacement]);
  fleet.publish(1, [replacement]);
  fleet.advanceBy(8_000);
  const countIncarnation = (incarnation: string) => fleet.nodes.filter((node) => fleet.getStatus(node)
    .peers.peers.some((peer) => peer.identity.incarnation === incarnation)).length;
  const current = countIncarnation(replacement.identity.incarnation);
  // Delayed messages of the old incarnation.
  fleet.nodes.filter((node) => node !== replacement).forEach((node) => [1, 2, 3].forEach((copy) => fleet.send(node.identity, {
    format: 1, from: old.identity, sequence: 2_000_000 + copy, message: { type: 'leaving' },
  }, copy * 50)));
  fleet.advanceBy(400);
  return { current, stale: countIncarnation(old.identity.incarnation) };
}

/** Lists the states that vm-5 has for vm-0 while messages from vm-5 to vm-0 are lost. */
function measureOneWayLinkFault(rules: Partial<core.vms.VmRules>): string[] {
  const fleet = TestFleet.start(12, 11, rules);
  fleet.cuts.add('vm-5>vm-0');
  const seen = new Set<string>();
  Array.from({ length: 90 }).forEach(() => {
    fleet.advanceBy(1_000);
    seen.add(fleet.getStatus(fleet.nodes[0]!).peers.peers.find((peer) => peer.identity.name === 'vm-5')!.state);
  });
  return [...seen].sort();
}

vitest.describe('PeerTask', () => {
  vitest.it('spreads a drain notice to 48 VMs within 5 s at 30% loss (guards against requests to a leaving instance)', () => {
    expect([1, 2, 3].map((seed) => countInformedStores('correct', seed))).toEqual([48, 48, 48]);
    expect(countInformedStores('faulty', 1)).toBeLessThan(48);
  });

  vitest.it('keeps the latest incarnation when delayed messages of the replaced one arrive (guards against reverting to a replaced process)', () => {
    expect(measureStaleIncarnation({})).toEqual({ current: 11, stale: 0 });
    const immediate = buildRules({ createIncarnationPolicy: () => new immediateIncarnationPolicy.ImmediateIncarnationPolicy() });
    expect(measureStaleIncarnation(immediate).stale).toBeGreaterThan(0);
  });

  vitest.it('requests indirect probes before a peer becomes unreachable (guards against losing healthy peers when a link fails in one direction)', () => {
    expect(measureOneWayLinkFault({})).not.toContain('unreachable');
    const directOnly = buildRules({
      createReachabilityDetector: () => new directOnlyReachabilityDetector.DirectOnlyReachabilityDetector(),
    });
    expect(measureOneWayLinkFault(directOnly)).toContain('unreachable');
  });

  vitest.it('detects a stopped VM and accepts it again when it resumes (guards against addresses of stopped VMs and against permanent removal)', () => {
    const fleet = TestFleet.start(48, 13);
    fleet.kill(fleet.nodes[7]!);
    fleet.advanceBy(30_000);
    expect(new Set(fleet.listStates('vm-7'))).toEqual(new Set(['unreachable']));
    fleet.nodes[7]!.state = 'running';
    fleet.nodes[7]!.timers.resume();
    fleet.advanceBy(30_000);
    expect(new Set(fleet.listStates('vm-7'))).toEqual(new Set(['reachable']));
    expect(new Set(fleet.nodes.flatMap((node) => fleet.getStatus(node).peers.peers.map((peer) => peer.state)))).toEqual(new Set(['reachable']));
  });

  vitest.it('keeps a responding VM that is missing from the list, and removes a missing one that does not respond (guards against an outdated list)', () => {
    const fleet = TestFleet.start(6, 17);
    const entries = fleet.listEntries().filter((entry) => entry.name !== 'vm-2' && entry.name !== 'vm-4');
    fleet.kill(fleet.nodes[4]!);
    fleet.nodes.forEach((node) => node.vm.post({ type: 'list-read', entries }));
    fleet.advanceBy(150_000);
    expect(new Set(fleet.listStates('vm-2'))).toEqual(new Set(['reachable']));
    expect(new Set(fleet.listStates('vm-4'))).toEqual(new Set([undefined]));
  });

  vitest.it('sends less than 3 KB of control traffic per second and VM (guards against traffic that grows with the number of VMs)', async ({ annotate }) => {
    const fleet = TestFleet.start(48, 19);
    fleet.advanceBy(10_000);
    const before = fleet.nodes.map((node) => node.sentBytes);
    fleet.advanceBy(60_000);
    const rates = fleet.nodes.map((node, index) => (node.sentBytes - before[index]!) / 60);
    const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
    await annotate(`control bytes per second sent by a VM: mean ${mean.toFixed(0)}, max ${Math.max(...rates).toFixed(0)}`);
    expect(Math.max(...rates)).toBeLessThan(3_000);
  });

  vitest.it('reconnects after a place was isolated for two minutes (guards against a partition that persists after its cause)', () => {
    const fleet = TestFleet.start(24, 31);
    fleet.nodes.forEach(({ identity }) => fleet.nodes.filter((other) => other.identity.place !== identity.place).forEach((other) => {
      if (identity.place === 'c' || other.identity.place === 'c') fleet.cuts.add(`${identity.name}>${other.identity.name}`);
    }));
    fleet.advanceBy(120_000);
    expect(fleet.listStates('vm-2').filter((state) => state === 'unreachable')).toHaveLength(16);
    fleet.cuts.clear();
    fleet.advanceBy(30_000);
    expect(new Set(fleet.listStates('vm-2'))).toEqual(new Set(['reachable']));
  });

  vitest.it('continues to serve after arbitrary values as envelopes (guards against a crash by a peer message of another program)', () => {
    const fleet = TestFleet.start(5, 37);
    const from = fleet.nodes[1]!.identity;
    const types = fastCheck.constantFrom('exchange', 'drain', 'document', 'reach-requested', 'reach-reported', 'operation-ended', 'evidence');
    const message = fastCheck.tuple(types, fastCheck.object()).map(([type, fields]) => ({ ...fields, type }));
    const envelope = fastCheck.oneof(fastCheck.anything(), message.map((value) => ({
      format: 1, from, sequence: 5, message: value,
    })));
    fastCheck.assert(fastCheck.property(envelope, (value) => {
      fleet.nodes[0]!.vm.post({ type: 'peer-envelope', envelope: value as core.vms.PeerEnvelope });
    }), { seed: 41, numRuns: 500 });
    fleet.advanceBy(5_000);
    expect(fleet.getStatus(fleet.nodes[0]!).state).toBe('serving');
  });

  vitest.it('drops invalid envelopes, counts them and logs once per period (guards against a crash by a peer message)', () => {
    const fleet = TestFleet.start(5, 23);
    const [node] = fleet.nodes;
    const { identity } = fleet.nodes[1]!;
    const base = {
      format: 1, from: identity, sequence: 900_000, message: { type: 'leaving' },
    };
    const invalidEnvelopes: unknown[] = [
      undefined, null, 7, 'x', [], {}, { ...base, format: 3 }, { ...base, format: 'a' }, { ...base, from: {} }, { ...base, sequence: -1 },
      { ...base, message: { type: 'unknown' } }, { ...base, message: { type: 'drain', notices: 'all' } },
      { ...base, message: { type: 'exchange', direction: 'request' } }, { ...base, from: node!.identity },
    ];
    invalidEnvelopes.forEach((envelope) => node!.vm.post({ type: 'peer-envelope', envelope: envelope as core.vms.PeerEnvelope }));
    node!.vm.post({ type: 'peer-invalid', detail: 'not JSON' });
    expect(fleet.getStatus(node!).peers.droppedMessages).toBe(invalidEnvelopes.length + 1);
    expect(node!.outputs.filter((output) => output.type === 'log' && output.prefix === 'peers')).toHaveLength(1);
    node!.vm.post({ type: 'peer-envelope', envelope: { ...base, format: 2 } as core.vms.PeerEnvelope });
    expect(fleet.listStates('vm-1')[0]).toBe('leaving');
  });

  vitest.it('selects 3 VMs of each place to watch the platform (guards against a platform load that grows with the number of VMs)', () => {
    const fleet = TestFleet.start(48, 29);
    const modes = fleet.nodes.map((node) => ({
      place: node.identity.place, mode: node.outputs.flatMap((output) => (output.type === 'platform-mode' ? [output.mode] : [])).at(-1),
    }));
    expect(['a', 'b', 'c'].map((place) => modes.filter((entry) => entry.place === place && entry.mode === 'watch').length)).toEqual([3, 3, 3]);
    fleet.nodes[0]!.vm.post({
      type: 'peer-envelope',
      envelope: {
        format: 1, from: fleet.nodes[1]!.identity, sequence: 900_000, message: { type: 'document-announced', document: { version: 9, digest: 'f' } },
      },
    });
    fleet.advanceBy(5_000);
    expect(fleet.nodes[0]!.outputs.findLast((output) => output.type === 'platform-mode')).toEqual({ type: 'platform-mode', mode: 'watch' });
  });
});
