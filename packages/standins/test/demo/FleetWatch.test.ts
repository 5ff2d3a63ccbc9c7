import type * as core from '@tamarackferry/core';
import * as standins from '@tamarackferry/standins';
import * as vitest from 'vitest';

type State = core.upstreams.InstanceStatus['state'];

function buildStatus(states: readonly State[]): core.vms.VmStatus {
  return {
    identity: {
      name: 'vm-1', incarnation: 'i', host: '127.0.0.1', port: 1, peerPort: 2, place: 'a',
    },
    upstreams: [{
      type: 'upstream-status',
      service: 'orders',
      floorInstances: 2,
      instances: states.map((state, index) => ({
        name: `orders-${index}`, place: 'a', state, weight: 1, inFlight: 0, reason: '',
      })),
    }],
  } as unknown as core.vms.VmStatus;
}

function watchStates(...pages: readonly (readonly State[])[]): standins.demo.WatchResult {
  const watch = new standins.demo.FleetWatch({ listVms: () => [], timers: new standins.demo.DemoClock().timers });
  pages.forEach((states) => watch.post({ type: 'statuses-read', statuses: [buildStatus(states)] }));
  return watch.stop();
}

vitest.describe('FleetWatch', () => {
  vitest.it('counts each ejection once (guards against figures that grow with the polls)', () => {
    const one: readonly State[] = ['ejected', 'in-service', 'in-service'];
    vitest.expect(watchStates(one, one, ['trial', 'in-service', 'in-service'], one)).toEqual({ ejections: ['orders-0', 'orders-0'], breaches: [] });
  });

  vitest.it('reports ejections that leave less than the floor (guards against a missed breach)', () => {
    vitest.expect(watchStates(['ejected', 'ejected', 'in-service']).breaches).toEqual(['vm-1 orders: 1 of 3 instances usable, floor 2']);
    vitest.expect(watchStates(['ejected', 'leaving', 'in-service']).breaches).toEqual(['vm-1 orders: 1 of 2 instances usable, floor 2']);
    vitest.expect(watchStates(['leaving', 'leaving', 'in-service']).breaches).toEqual([]);
  });
});
