import * as vitest from 'vitest';

import * as fleetReplay from './FleetReplay.js';
import type * as simulatedStore from './SimulatedStore.js';

const { stableWindowMs, drainMs, configApplyMs } = fleetReplay.BOUNDS;
const SETTLED_MS = 12_000;
const STEP_MS = 20;
const OBSERVED_MS = 9_000;

// Instances whose entries expired while the store was unavailable are back within this time after its return.
const REPUBLISHED_WITHIN_MS = 2_000;
const OUTAGE_MS = 5_000;

const DOWN_MS = 2_000;
const KILLED_SHARE = 0.6;
const NEW_VERSION = 9;

type Fleet = fleetReplay.FleetReplay;

function startFleet(seed: number, vmsPerPlace = 6): Fleet {
  const fleet = new fleetReplay.FleetReplay(3, vmsPerPlace, seed);
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

  // Guards against VMs that survive a herd kill and rely on the dead VMs which told them about the store.
  vitest.describe('when many VMs are killed around the publication of a configuration', () => {
    const OFFSETS_MS = [-350, -100, 10, 50, 400, 800, 1_300, 1_900];

    // Lists the survivors that handle requests by the older configuration after the bound.
    function listLateSurvivors(fleet: Fleet, killed: readonly fleetReplay.FleetVm[], offsetMs: number): string[] {
      const killedAtMs = fleet.timers.getNowMs() + 400;
      // A change shortly before lets the watchers pause between two watches.
      fleet.timers.advanceTo(killedAtMs + Math.min(0, offsetMs) - 20);
      fleet.publishInstance('i4');
      const survivors = [...fleet.vms.values()].filter((vm) => !killed.includes(vm));
      const kill = (): void => {
        fleet.timers.advanceTo(killedAtMs);
        killed.forEach((vm) => fleet.killVm(vm, DOWN_MS));
      };
      if (offsetMs >= 0) kill();
      fleet.timers.advanceTo(killedAtMs + offsetMs);
      const publishedAtMs = fleet.publishConfiguration(NEW_VERSION);
      if (offsetMs < 0) kill();
      fleet.timers.advanceTo(publishedAtMs + configApplyMs);
      return survivors.filter((vm) => vm.version < NEW_VERSION).map((vm) => vm.name);
    }

    vitest.it.each(OFFSETS_MS)('applies it in time at the only survivor of a place, published %i ms after the kill', (offsetMs) => {
      [1, 2, 3, 4, 5, 6].forEach((seed) => {
        const fleet = startFleet(seed);
        fleet.timers.advanceTo(SETTLED_MS + seed * 170);
        const killed = [...fleet.vms.values()].filter((vm) => vm.place === 'p0' && vm.name !== `p0-${seed % 6}`);
        vitest.expect(listLateSurvivors(fleet, killed, offsetMs)).toEqual([]);
      });
    });

    vitest.it.each(OFFSETS_MS)('applies it in time at all survivors of a large fleet, published %i ms after the kill', (offsetMs) => {
      const fleet = startFleet(offsetMs + 1_000, 16);
      const killed = [...fleet.vms.values()].filter((_, index) => (index * 7) % 10 < KILLED_SHARE * 10);
      vitest.expect(listLateSurvivors(fleet, killed, offsetMs)).toEqual([]);
    });

    vitest.it('applies it in time at the VMs of a place whose fronts and standbys cannot reach the store', () => {
      const fleet = startFleet(7);
      const names = [...fleet.vms.values()].filter((vm) => vm.place === 'p0').map((vm) => vm.name);
      fleet.store.setCondition('silent', names.slice(0, 4));
      fleet.timers.advanceTo(SETTLED_MS + 100);
      vitest.expect(listLateSurvivors(fleet, [], 0)).toEqual([]);
    });
  });

  // Load pattern: an update that the VMs which follow others cannot read, as between two versions of the program or after an entry that
  // only one of them takes in. Guards against a configuration that is late because of what stands beside it.
  vitest.describe('when the VMs cannot read the updates of the others', () => {
    // Calls that the store permits in a second, from all VMs together.
    const MAX_CALLS_PER_S = 2_000;

    function publishUnreadable(fleet: Fleet, seed: number): number {
      fleet.timers.advanceTo(SETTLED_MS + seed * 330);
      fleet.vms.forEach((vm) => fleet.unreadable.add(vm.name));
      fleet.publishInstance('i4');
      fleet.timers.advanceTo(fleet.timers.getNowMs() + 300);
      return fleet.publishConfiguration(NEW_VERSION);
    }

    vitest.it.each([1, 2, 3, 4, 5, 6])('applies a configuration in time by reading the store (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const publishedAtMs = publishUnreadable(fleet, seed);
      fleet.timers.advanceTo(publishedAtMs + configApplyMs);
      vitest.expect([...fleet.vms.values()].filter((vm) => vm.version < NEW_VERSION).map((vm) => vm.name)).toEqual([]);
    });

    vitest.it('keeps the calls of 294 VMs to the store within what it permits', () => {
      const fleet = startFleet(1, 98);
      const publishedAtMs = publishUnreadable(fleet, 1);
      fleet.timers.advanceTo(publishedAtMs);
      const counts = Array.from({ length: 10 }, (_, second) => {
        const before = fleet.countStoreCalls();
        fleet.timers.advanceTo(publishedAtMs + (second + 1) * 1_000);
        return fleet.countStoreCalls() - before;
      });
      vitest.expect(Math.max(...counts)).toBeLessThanOrEqual(MAX_CALLS_PER_S);
      vitest.expect([...fleet.vms.values()].filter((vm) => vm.version < NEW_VERSION)).toEqual([]);
    });

    vitest.it('follows the others again when their updates can be read', () => {
      const fleet = startFleet(2);
      publishUnreadable(fleet, 2);
      fleet.timers.advanceTo(fleet.timers.getNowMs() + 1_000);
      fleet.unreadable.clear();
      fleet.timers.advanceTo(fleet.timers.getNowMs() + OBSERVED_MS);
      const before = new Map(fleet.store.calls);
      fleet.publishConfiguration(NEW_VERSION + 1);
      fleet.timers.advanceTo(fleet.timers.getNowMs() + configApplyMs);
      vitest.expect([...fleet.vms.values()].filter((vm) => vm.version <= NEW_VERSION)).toEqual([]);
      // The fronts of each place read the store, and nobody else.
      const readers = [...fleet.store.calls].filter(([name, calls]) => calls > (before.get(name) ?? 0));
      vitest.expect(readers.length).toBeLessThanOrEqual(6);
    });
  });

  // Load pattern: the store is gone for a moment and comes back from a copy some seconds old. Guards against VMs that keep the revisions of
  // the store before, ignore what is written with revisions that are issued again, or follow the copy back to what it was.
  vitest.describe('when the store comes back from an older copy', () => {
    const GONE_MS = 1_000;
    const COPY_AGE_MS = 4_000;
    const SEEDS = [1, 2, 3];

    // Lets the store be unreachable for a moment and come back from a copy. Returns the time of the return.
    function injectCopy(fleet: Fleet, copiedAtMs: number, goneMs = GONE_MS): number {
      fleet.store.setCondition('unreachable');
      fleet.timers.advanceTo(fleet.timers.getNowMs() + goneMs);
      fleet.store.loadCopy(copiedAtMs);
      fleet.store.setCondition('serving');
      return fleet.timers.getNowMs();
    }

    vitest.it.each(SEEDS)('keeps the newest configuration in force, and applies the next one in time although its revision is older (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      ['i4', 'i5', 'i6'].forEach((id) => fleet.publishInstance(id));
      fleet.publishConfiguration(NEW_VERSION);
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      const returnedAtMs = injectCopy(fleet, copiedAtMs);
      const older: string[] = [];
      observe(fleet, returnedAtMs + stableWindowMs, (vm) => {
        if (vm.version < NEW_VERSION) older.push(vm.name);
      });
      vitest.expect(older).toEqual([]);
      const publishedAtMs = fleet.publishConfiguration(NEW_VERSION + 1);
      fleet.timers.advanceTo(publishedAtMs + configApplyMs);
      vitest.expect([...fleet.vms.values()].filter((vm) => vm.version <= NEW_VERSION).map((vm) => vm.name)).toEqual([]);
    });

    vitest.it.each(SEEDS)('keeps instances that the copy lacks until they are back, and drops those that do not come back (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      ['i4', 'i5'].forEach((id) => fleet.publishInstance(id));
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      const returnedAtMs = injectCopy(fleet, copiedAtMs);
      const missing: string[] = [];
      const visit = (vm: fleetReplay.FleetVm, nowMs: number): void => {
        if (!['i1', 'i4'].every((id) => vm.instances.includes(id))) missing.push(`${vm.name} ${nowMs - returnedAtMs}`);
      };
      observe(fleet, returnedAtMs + REPUBLISHED_WITHIN_MS, visit);
      vitest.expect([...fleet.vms.values()].filter((vm) => !vm.instances.includes('i5'))).toEqual([]);
      fleet.publishInstance('i4');
      observe(fleet, returnedAtMs + stableWindowMs, visit);
      vitest.expect(missing).toEqual([]);
      vitest.expect(listLateUses(fleet, 'i5', returnedAtMs + stableWindowMs)).toEqual([]);
    });

    vitest.it.each(SEEDS)('uses no instance again that was removed and is in the copy, until it is written again (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      fleet.publishInstance('i4');
      fleet.removeInstance('i1');
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      const returnedAtMs = injectCopy(fleet, copiedAtMs);
      vitest.expect(listLateUses(fleet, 'i1', returnedAtMs)).toEqual([]);
      fleet.publishInstance('i1');
      fleet.publishInstance('i7');
      fleet.timers.advanceTo(fleet.timers.getNowMs() + drainMs);
      vitest.expect([...fleet.vms.values()].filter((vm) => !['i1', 'i2', 'i7'].every((id) => vm.instances.includes(id)))).toEqual([]);
    });

    vitest.it.each(SEEDS)('drops an instance that is removed after the return in time (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      ['i4', 'i5', 'i6', 'i2'].forEach((id) => fleet.publishInstance(id));
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      injectCopy(fleet, copiedAtMs);
      fleet.timers.advanceTo(fleet.timers.getNowMs() + stableWindowMs);
      const removedAtMs = fleet.removeInstance('i2');
      vitest.expect(listLateUses(fleet, 'i2', removedAtMs + drainMs)).toEqual([]);
    });

    // The store has issued the revision that the VMs know again, for other contents, before they reach it.
    vitest.it.each(SEEDS)('reads what was written with revisions that were issued again (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      ['i4', 'i5', 'i2'].forEach((id) => fleet.publishInstance(id));
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      fleet.store.setCondition('unreachable');
      fleet.timers.advanceTo(fleet.timers.getNowMs() + GONE_MS);
      fleet.store.loadCopy(copiedAtMs);
      fleet.removeInstance('i2');
      fleet.publishConfiguration(NEW_VERSION);
      ['i7', 'i4'].forEach((id) => fleet.publishInstance(id));
      fleet.store.setCondition('serving');
      fleet.timers.advanceTo(fleet.timers.getNowMs() + stableWindowMs);
      const wrong = [...fleet.vms.values()].filter((vm) => vm.version !== NEW_VERSION || [...vm.instances].sort().join(' ') !== 'i1 i3 i4 i7');
      vitest.expect(wrong.map((vm) => `${vm.name} ${vm.version} ${vm.instances.join(' ')}`)).toEqual([]);
    });

    vitest.it.each(
      SEEDS.flatMap((seed) => [300, 1_200, 2_000].map((gapMs) => [seed, gapMs])),
    )('keeps instances that had no time to come back before the store was unavailable again (seed %i, %i ms)', (seed, gapMs) => {
      const fleet = startFleet(seed!);
      const copiedAtMs = fleet.timers.getNowMs();
      fleet.publishInstance('i4');
      fleet.publishConfiguration(NEW_VERSION);
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      const missing: string[] = [];
      const visit = (vm: fleetReplay.FleetVm): void => {
        if (!vm.instances.includes('i4') || vm.version < NEW_VERSION) missing.push(`${vm.name} ${vm.instances.join(' ')} ${vm.version}`);
      };
      const firstAtMs = injectCopy(fleet, copiedAtMs);
      observe(fleet, firstAtMs + gapMs!, visit);
      fleet.store.setCondition('unreachable');
      observe(fleet, fleet.timers.getNowMs() + 3 * GONE_MS, visit);
      const secondAtMs = injectCopy(fleet, copiedAtMs, 0);
      observe(fleet, secondAtMs + REPUBLISHED_WITHIN_MS, visit);
      fleet.publishInstance('i4');
      observe(fleet, secondAtMs + OBSERVED_MS, visit);
      vitest.expect(missing).toEqual([]);
    });

    vitest.it.each(SEEDS)('brings VMs of the old era that were cut off to the new era, and restarted VMs to the newest configuration (seed %i)', (seed) => {
      const fleet = startFleet(seed);
      const copiedAtMs = fleet.timers.getNowMs();
      ['i4', 'i5', 'i6'].forEach((id) => fleet.publishInstance(id));
      fleet.removeInstance('i1');
      fleet.publishConfiguration(NEW_VERSION);
      fleet.timers.advanceTo(copiedAtMs + COPY_AGE_MS);
      const names = [...fleet.vms.keys()];
      const cut = names.filter((_, index) => index % 4 === seed % 4);
      const restarted = names.filter((_, index) => index % 4 === (seed + 1) % 4);
      cut.forEach((name) => fleet.cut.add(name));
      const returnedAtMs = injectCopy(fleet, copiedAtMs);
      fleet.store.setCondition('unreachable', cut);
      restarted.forEach((name) => fleet.killVm(fleet.vms.get(name)!, GONE_MS));
      fleet.publishInstance('i4');
      fleet.timers.advanceTo(returnedAtMs + OBSERVED_MS);
      fleet.cut.clear();
      fleet.timers.advanceTo(fleet.timers.getNowMs() + stableWindowMs);
      const wrong = [...fleet.vms.values()].filter((vm) => vm.version !== NEW_VERSION || [...vm.instances].sort().join(' ') !== 'i2 i3 i4');
      vitest.expect(wrong.map((vm) => `${vm.name} ${vm.version} ${vm.instances.join(' ')}`)).toEqual([]);
    });
  });
});
