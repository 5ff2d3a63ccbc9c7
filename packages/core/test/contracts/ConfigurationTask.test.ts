import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as testFleet from '../vms/TestFleet.js';
import * as alwaysNewerDocumentOrder from './AlwaysNewerDocumentOrder.js';
import * as immediateStartupPolicy from './ImmediateStartupPolicy.js';
import * as versionOnlyDocumentOrder from './VersionOnlyDocumentOrder.js';

const { TestFleet } = testFleet;
const { expect } = vitest;

function buildRules(replaced: Partial<core.contracts.ContractRules>): Partial<core.vms.VmRules> {
  return { contracts: Object.assign(new core.contracts.ContractRules(), replaced) };
}

function listVersions(node: testFleet.FleetNode): number[] {
  return node.accepted.map((entry) => entry.reference.version);
}

/** Counts the VMs that revert to an older version when the platform returns version 1 after version 2. */
function measureStalePlatform(rules: Partial<core.vms.VmRules>, loss = 0): number {
  const fleet = TestFleet.start(12, 31, rules);
  fleet.faults.loss = loss;
  fleet.publish(2, fleet.nodes.slice(0, 1));
  fleet.advanceBy(3_000);
  fleet.publish(1, fleet.nodes.slice(0, 6));
  fleet.advanceBy(3_000);
  return fleet.nodes.filter((node) => listVersions(node).some((version, index, all) => version < (all[index - 1] ?? 0))).length;
}

/** Publishes two documents with version 2 on different VMs. Counts the documents in force and the VMs that report the conflict. */
function measureConcurrentPublication(rules: Partial<core.vms.VmRules>): { digests: number; conflicts: number } {
  const fleet = TestFleet.start(24, 37, rules);
  fleet.faults.loss = 0.2;
  fleet.publish(2, fleet.nodes.slice(0, 2), 'a');
  fleet.publish(2, fleet.nodes.slice(10, 12), 'b');
  fleet.advanceBy(6_000);
  return {
    digests: new Set(fleet.nodes.map((node) => node.accepted.at(-1)?.reference.digest)).size,
    conflicts: fleet.nodes.filter((node) => fleet.getStatus(node).configuration.conflicts.length === 2).length,
  };
}

/** Lists the versions that a new VM accepts while its peers hold version 2 and the platform still returns version 1. */
function measureFreshVm(rules: Partial<core.vms.VmRules>): number[] {
  const fleet = TestFleet.start(12, 41, rules);
  fleet.publish(2, fleet.nodes.slice(0, 1));
  fleet.advanceBy(3_000);
  const fresh = fleet.addNode('vm-30');
  // The platform is stale: it still returns version 1.
  fleet.publish(1, [fresh]);
  fleet.publishList([fresh]);
  fleet.advanceBy(3_000);
  return listVersions(fresh);
}

vitest.describe('ConfigurationTask', () => {
  vitest.it('spreads a document from the one VM that reaches the platform within 5 s (guards against slow configuration changes)', async ({ annotate }) => {
    const slowest = [1, 2, 3].map((seed) => {
      const fleet = TestFleet.start(48, seed);
      Object.assign(fleet.faults, { loss: 0.2, duplication: 0.2, jitterMs: 200 });
      const publishedMs = fleet.timers.getNowMs();
      fleet.publish(2, fleet.nodes.slice(5, 6));
      fleet.advanceBy(5_000);
      const times = fleet.nodes.map((node) => node.accepted.find((entry) => entry.reference.version === 2)?.atMs ?? Infinity)
        .map((atMs) => atMs - publishedMs);
      return Math.max(...times);
    });
    await annotate(`last of 48 VMs after ${slowest.join(', ')} ms at 20% loss`);
    expect(Math.max(...slowest)).toBeLessThanOrEqual(5_000);
  });

  vitest.it('never reverts to an older document (guards against a stale platform)', () => {
    expect([0, 0.5, 1].map((loss) => measureStalePlatform({}, loss))).toEqual([0, 0, 0]);
    expect(measureStalePlatform(buildRules({
      createDocumentOrder: () => new alwaysNewerDocumentOrder.AlwaysNewerDocumentOrder(),
    }))).toBeGreaterThan(0);
  });

  vitest.it('chooses the same document on all VMs when operators publish two documents with one version, and reports the conflict (guards against diverging VMs)', () => {
    expect(measureConcurrentPublication({})).toEqual({ digests: 1, conflicts: 24 });
    expect(measureConcurrentPublication(buildRules({
      createDocumentOrder: () => new versionOnlyDocumentOrder.VersionOnlyDocumentOrder(),
    })).digests).toBe(2);
  });

  vitest.it('starts with the newest document that a peer announces (guards against serving with an older one)', () => {
    expect(measureFreshVm({})).toEqual([2]);
    const immediate = buildRules({
      createStartupPolicy: () => new immediateStartupPolicy.ImmediateStartupPolicy(new core.contracts.DocumentOrder()),
    });
    expect(measureFreshVm(immediate)[0]).toBe(1);
  });

  vitest.it('starts from seed peers while the platform is unavailable (guards against VMs that cannot be replaced during an outage)', () => {
    const fleet = TestFleet.start(12, 43);
    const fresh = fleet.addNode('vm-30', fleet.listEntries().slice(0, 3));
    fresh.vm.post({ type: 'platform-failed', source: 'configuration' });
    fleet.advanceBy(6_000);
    expect(listVersions(fresh)).toEqual([1]);
    expect(fleet.getStatus(fresh).state).toBe('serving');
  });

  vitest.it('waits while no listed peer answers, and serves if no peer is listed (guards against an old document and against a sole VM that never starts)', () => {
    const fleet = new TestFleet(47);
    const [first] = ['vm-0', 'vm-1', 'vm-2'].map((name) => fleet.addNode(name));
    fleet.nodes.slice(1).forEach((node) => fleet.kill(node));
    fleet.publishList([first!]);
    fleet.publish(1, [first!]);
    fleet.advanceBy(60_000);
    expect(fleet.getStatus(first!).configuration.waitingFor).toContain('none answers');
    const single = new TestFleet(53);
    single.addNode('vm-0');
    single.publishList();
    single.publish(1);
    expect(single.getStatus(single.nodes[0]!).state).toBe('serving');
  });

  vitest.it('serves after 10 s with one agreeing peer only if the platform was read (guards against a list of stopped VMs and against one stale peer)', () => {
    const startPair = (source: 'platform' | 'peers') => {
      const fleet = TestFleet.start(2, 59);
      ['vm-2', 'vm-3', 'vm-4'].forEach((name) => fleet.kill(fleet.addNode(name)));
      const fresh = fleet.addNode('vm-5');
      fleet.publishList([fresh]);
      fleet.kill(fleet.nodes[1]!);
      if (source === 'platform') fleet.publish(1, [fresh]);
      fleet.advanceBy(30_000);
      return fleet.getStatus(fresh).state;
    };
    expect(startPair('platform')).toBe('serving');
    expect(startPair('peers')).toBe('starting');
  });

  vitest.it('refuses documents of another deployment and invalid seals (guards against documents from other sources)', () => {
    const fleet = TestFleet.start(5, 61);
    const [node] = fleet.nodes;
    node!.vm.post({ type: 'configuration-read', text: TestFleet.buildText(5, 'other') });
    expect(fleet.getStatus(node!).configuration.refusal?.type).toBe('other-deployment');
    node!.vm.post({
      type: 'peer-envelope',
      envelope: {
        format: 1,
        from: fleet.nodes[1]!.identity,
        sequence: 900_000,
        message: { type: 'document', text: TestFleet.buildText(5).replace('version = 5', 'version = 6') },
      },
    });
    expect(fleet.getStatus(node!).configuration.refusal?.type).toBe('seal-invalid');
    expect(listVersions(node!)).toEqual([1]);
  });
});
