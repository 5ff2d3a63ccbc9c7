import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

const PLACES = ['a', 'b', 'c'];

function buildInstances(count: number): core.upstreams.InstanceAddress[] {
  return Array.from({ length: count }, (_, index) => ({
    service: 's', name: `i${index}`, incarnation: 'x', host: '10.0.0.1', port: 1, place: PLACES[index % 3]!,
  }));
}

function buildFronting(count: number, places = PLACES): core.places.FrontingCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ name: `vm-${index}`, place: places[index % places.length]! }));
}

vitest.describe('InstancePreference', () => {
  const preference = new core.upstreams.InstancePreference();

  vitest.it('assigns each instance to one VM of its place (guards against two VMs that compete for the same slots)', () => {
    const instances = buildInstances(30);
    const fronting = buildFronting(12);
    const shares = fronting.map((vm) => preference.listPreferred(vm.name, fronting, instances));
    vitest.expect(shares.flat().sort()).toEqual(instances.map((each) => each.name).sort());
    vitest.expect(Math.min(...shares.map((share) => share.length))).toBe(2);
    vitest.expect(Math.max(...shares.map((share) => share.length))).toBe(3);
    const otherPlaceInstances = fronting.flatMap((vm, index) => shares[index]!
      .filter((name) => instances.find((each) => each.name === name)?.place !== vm.place));
    vitest.expect(otherPlaceInstances).toEqual([]);
  });

  vitest.it('distributes the instances of a place without VMs over all VMs (guards against instances that no VM prefers)', () => {
    const instances = buildInstances(30);
    const fronting = buildFronting(8, ['a', 'b']);
    const shares = fronting.map((vm) => preference.listPreferred(vm.name, fronting, instances));
    vitest.expect(shares.flat().sort()).toEqual(instances.map((each) => each.name).sort());
  });

  vitest.it('assigns no instance to a VM outside the fronting set (guards against a VM with a stale view that uses the instances of others)', () => {
    vitest.expect(preference.listPreferred('other', buildFronting(12), buildInstances(30))).toEqual([]);
  });
});
