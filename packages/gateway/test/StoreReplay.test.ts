import * as vitest from 'vitest';

import * as fleetReplay from './FleetReplay.js';
import type * as simulatedStore from './SimulatedStore.js';

const { stableWindowMs, drainMs } = fleetReplay.BOUNDS;
const SETTLED_MS = 12_000;
const STEP_MS = 20;
const OBSERVED_MS = 9_000;

// Instances whose entries expired while the store was unavailable are back within this time after its return.
const REPUBLISHED_WITHIN_MS = 2_000;
const OUTAGE_MS = 5_000;

type Fleet = fleetReplay.FleetReplay;

function startFleet(seed: number): Fleet {
  const fleet = new fleetReplay.FleetReplay(3, 6, seed);
  fleet.timers.advanceTo(1_000);
  ['i1', 'i2', 'i3'].forEach((id) => fleet.publishInstance(id));
  fleet.timers.advanceTo(SETTLED_MS);
  return fleet;
}

// Advances the time and visits each VM at each step.
function observe(fleet: Fleet, untilMs: number, visit: (vm: fleetReplay.FleetVm, nowMs: number) => void): void {
  while (fleet.timers.getNowMs() < untilMs) {
    const nowMs = fleet.timers.getNowMs() + STEP_MS;
    fleet.timers.advanceTo(nowMs);
    fleet.vms.forEach((vm) => visit(vm, nowMs));
  }
}

// Lists the times after a limit at which VMs used an instance, relative to the limit.
function listLateUses(fleet: Fleet, id: string, limitMs: number): string[] {
  const late: string[] = [];
  observe(fleet, limitMs + OBSERVED_MS, (vm, nowMs) => {
    if (nowMs > limitMs && vm.instances.includes(id)) late.push(`${vm.name} ${nowMs - limitMs}`);
  });
  return late;
}

vitest.describe('replay of disturbances of the store', () => {
  // Guards against requests to an instance whose removal was acknowledged while connections to the store were silent.
  vitest.it.each(
    [1, 2, 3, 4].flatMap((seed) => [20, 100, 900, 2_000, 2_900].map((removedAfterMs) => [seed, removedAfterMs])),
  )('drops an instance that left after connections went silent as soon as the VMs are in touch again (seed %i, %i ms)', (seed, removedAfterMs) => {
    const fleet = startFleet(seed!);
    // A change shortly before lets the fronts pause between two watches.
    fleet.timers.advanceTo(SETTLED_MS + seed! * 450);
    fleet.publishInstance('i4');
    fleet.timers.advanceTo(fleet.timers.getNowMs() + 30);
    const silentAtMs = fleet.timers.getNowMs();
    fleet.store.cutConnections();
    fleet.timers.advanceTo(silentAtMs + removedAfterMs!);
    const removedAtMs = fleet.removeInstance('i1');
    vitest.expect(listLateUses(fleet, 'i1', Math.max(removedAtMs + drainMs, silentAtMs + stableWindowMs))).toEqual([]);
  });

  vitest.describe.each<simulatedStore.StoreCondition>(['silent', 'refusing', 'unreachable'])('when the store is %s for some seconds', (condition) => {
    vitest.it.each([1, 2, 3])('keeps instances in use whose entries expired meanwhile until they are published again (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      fleet.store.setCondition(condition);
      fleet.timers.advanceTo(SETTLED_MS + OUTAGE_MS);
      ['i1', 'i2', 'i3'].forEach((id) => fleet.removeInstance(id));
      fleet.store.setCondition('serving');
      const returnedAtMs = fleet.timers.getNowMs();
      const missing: string[] = [];
      const visit = (vm: fleetReplay.FleetVm, nowMs: number): void => {
        if (!['i1', 'i2'].every((id) => vm.instances.includes(id))) missing.push(`${vm.name} ${nowMs - returnedAtMs}`);
      };
      observe(fleet, returnedAtMs + REPUBLISHED_WITHIN_MS, visit);
      ['i1', 'i2'].forEach((id) => fleet.publishInstance(id));
      observe(fleet, returnedAtMs + OBSERVED_MS, visit);
      vitest.expect(missing).toEqual([]);
      vitest.expect([...fleet.vms.values()].filter((vm) => vm.instances.includes('i3'))).toEqual([]);
    });

    vitest.it.each([0, 1_000, stableWindowMs])('drops an instance that was removed after the return of the store, %i ms later', (delayMs) => {
      const fleet = startFleet(delayMs);
      fleet.store.setCondition(condition);
      fleet.timers.advanceTo(SETTLED_MS + OUTAGE_MS);
      fleet.store.setCondition('serving');
      const returnedAtMs = fleet.timers.getNowMs();
      fleet.timers.advanceTo(returnedAtMs + stableWindowMs + delayMs);
      const removedAtMs = fleet.removeInstance('i1');
      vitest.expect(listLateUses(fleet, 'i1', removedAtMs + drainMs)).toEqual([]);
    });

    vitest.it('drops an instance that leaves while the store turns away a third of the VMs', () => {
      const fleet = startFleet(5);
      const affected = [...fleet.vms.values()].filter((vm, index) => index % 3 === 0 || fleet.listFronts(vm).includes(vm.name));
      fleet.store.setCondition(condition, affected.slice(0, -2).map((vm) => vm.name));
      fleet.timers.advanceTo(SETTLED_MS + OUTAGE_MS);
      const removedAtMs = fleet.removeInstance('i1');
      vitest.expect(listLateUses(fleet, 'i1', removedAtMs + drainMs)).toEqual([]);
    });
  });

  vitest.it.each([1, 2, 3, 4])('drops an instance that left while a VM was cut off, once the VM is in touch again (seed %i)', (seed) => {
    const fleet = startFleet(seed);
    const names = [...fleet.vms.values()]
      .filter((vm, index) => index % 5 === seed || fleet.listFronts(vm)[0] === vm.name)
      .map((vm) => vm.name);
    names.forEach((name) => fleet.cut.add(name));
    fleet.store.setCondition('unreachable', names);
    fleet.timers.advanceTo(SETTLED_MS + 1_000);
    fleet.removeInstance('i1');
    fleet.timers.advanceTo(SETTLED_MS + OUTAGE_MS);
    fleet.cut.clear();
    fleet.store.setCondition('serving');
    vitest.expect(listLateUses(fleet, 'i1', fleet.timers.getNowMs() + stableWindowMs)).toEqual([]);
  });
});
