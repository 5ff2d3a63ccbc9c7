import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

const { expect } = vitest;

const VMS = Array.from({ length: 48 }, (_, index) => ({ name: `vm-${index}`, place: 'abc'[index % 3]! }));

vitest.describe('FrontingSet', () => {
  vitest.it('selects 4 VMs of each place and keeps the others when one is removed (guards against moving callers without need)', () => {
    const set = new core.places.FrontingSet();
    const services = Array.from({ length: 50 }, (_, index) => `service-${index}`);
    services.forEach((service) => {
      const members = set.chooseMembers(service, VMS);
      expect(['a', 'b', 'c'].map((place) => members.filter((member) => member.place === place).length)).toEqual([4, 4, 4]);
      const rest = set.chooseMembers(service, VMS.filter((vm) => vm !== members[5]));
      expect(members.filter((member) => !rest.includes(member))).toEqual([members[5]]);
    });
    const load = VMS.map((vm) => services.filter((service) => set.chooseMembers(service, VMS).includes(vm)).length);
    expect(Math.max(...load)).toBeLessThan(25);
  });

  vitest.it('selects more VMs of other places when one place has few (guards against a small set after the loss of a place)', () => {
    const few = VMS.filter((vm) => vm.place !== 'c').concat(VMS.filter((vm) => vm.place === 'c').slice(0, 1));
    const members = new core.places.FrontingSet().chooseMembers('orders', few);
    expect(members).toHaveLength(12);
    expect(members.filter((member) => member.place === 'c')).toHaveLength(1);
  });

  vitest.it('has fewer members for a service with few instances (guards against VMs without a preferred instance)', () => {
    expect([0, 4, 9, 20].map((floor) => core.places.FrontingSet.computeSize(floor))).toEqual([6, 6, 9, 12]);
  });
});
