import * as vitest from 'vitest';

import * as fleetReplay from './FleetReplay.js';

// A VM that serves nobody wakes up once a second or less by itself. Heartbeats of both fronts arrive once a second each.
const MAX_TICKS_PER_S = 1;
const MAX_RECEIVED_PER_S = 4;

// All VMs must have a catalog before callers are sent to them, ten seconds after the start.
const READY_WITHIN_MS = 5_000;

// Target of the users for a day of about this length in a fleet of almost three hundred VMs.
const DAY_MS = 53_000;
const MAX_DAY_CALLS = 600;

const SPAN_S = 60;

vitest.describe('replay of the start and the idle time of a fleet', () => {
  vitest.it.each([1, 2])('starts hundreds of VMs and keeps them up to date with few calls to the store (seed %i)', (seed) => {
    const fleet = new fleetReplay.FleetReplay(5, 58, seed);
    fleet.timers.advanceTo(READY_WITHIN_MS);
    vitest.expect([...fleet.vms.values()].filter((vm) => vm.readyAtMs === Infinity)).toEqual([]);
    fleet.timers.advanceTo(DAY_MS);
    vitest.expect(fleet.countStoreCalls()).toBeLessThanOrEqual(MAX_DAY_CALLS);
  });

  vitest.it.each([[3, 16], [5, 30]])('lets a VM that serves nobody wake up rarely, in %i places of %i VMs', (places, vmsPerPlace) => {
    const fleet = new fleetReplay.FleetReplay(places, vmsPerPlace, 1);
    fleet.timers.advanceTo(20_000);
    fleet.vms.forEach((vm) => Object.assign(vm, { received: 0, ticks: 0 }));
    fleet.timers.advanceTo(20_000 + SPAN_S * 1_000);
    const standing = new Set([...fleet.vms.values()].flatMap((vm) => fleet.listFronts(vm)));
    // The two VMs of each place that would replace its fronts are as busy as these.
    const reserves = fleet.listReserves().sort((left, right) => left.ticks - right.ticks).slice(0, -2 * places);
    vitest.expect(standing.size).toBe(2 * places);
    vitest.expect(Math.max(...reserves.map((vm) => vm.ticks / SPAN_S))).toBeLessThanOrEqual(MAX_TICKS_PER_S);
    const received = reserves.reduce((sum, vm) => sum + vm.received, 0) / reserves.length / SPAN_S;
    vitest.expect(received).toBeLessThanOrEqual(MAX_RECEIVED_PER_S);
  });

  vitest.it('forgets no VM of its place and no front of another place while all of them run', () => {
    const fleet = new fleetReplay.FleetReplay(5, 20, 4);
    fleet.timers.advanceTo(120_000);
    vitest.expect([...fleet.vms.values()].flatMap((vm) => vm.lost)).toEqual([]);
    fleet.vms.forEach((vm) => vitest.expect(vm.membership.countReachableVms()).toBeGreaterThanOrEqual(19 + 4 * 2));
  });

  vitest.it('sends the callers of each place to the same VMs, whichever VM they ask', () => {
    const fleet = new fleetReplay.FleetReplay(3, 30, 5);
    fleet.timers.advanceTo(20_000);
    const answers = new Set([...fleet.vms.values()].map((vm) => `${vm.place}: ${[...fleet.listFronts(vm)].sort().join(' ')}`));
    vitest.expect(answers.size).toBe(3);
  });

  vitest.it('sends callers to a few VMs of each place soon after all VMs have started together', () => {
    const fleet = new fleetReplay.FleetReplay(3, 20, 6);
    fleet.timers.advanceTo(700);
    const hosts = new Set([...fleet.vms.values()].flatMap((vm) => fleet.listFronts(vm)));
    vitest.expect(hosts.size).toBeLessThanOrEqual(fleet.vms.size / 3);
  });

  vitest.it('tells all VMs that it knows about a failing instance while a fleet starts, and the fronts only later', () => {
    const fleet = new fleetReplay.FleetReplay(2, 10, 7);
    fleet.timers.advanceTo(1_500);
    const [vm] = fleet.listReserves();
    const rows = [{
      instance: 'i1', service: 's1', deviation: 2.5, inFlight: 0,
    }];
    vm!.membership.post({ type: 'evidence-found', rows, outcomes: [] });
    // All of its place, and those of the other place that it has met.
    vitest.expect(fleet.evidenceHosts.size).toBeGreaterThanOrEqual(9);
    fleet.evidenceHosts.clear();
    fleet.timers.advanceTo(20_000);
    vm!.membership.post({ type: 'evidence-found', rows, outcomes: [] });
    vitest.expect(fleet.evidenceHosts.size).toBe(4);
  });
});
