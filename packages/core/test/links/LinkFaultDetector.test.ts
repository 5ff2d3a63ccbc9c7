import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from '../upstreams/PoolSimulation.js';

/** Defective variant: never suspects a link. The test must fail with it. */
class DisabledLinkFaultDetector extends core.links.LinkFaultDetector {
  override listSuspectedPlaces(): readonly string[] {
    return [];
  }
}

const FAULTY_RULES = poolSimulation.buildRules({ createLinkFaultDetector: () => new DisabledLinkFaultDetector() });

/** Counts ejections while all attempts from place a at instances of place b end with the given observation. */
function countEjections(observation: core.upstreams.Observation, options: poolSimulation.SimulationOptions): number {
  const simulation = new poolSimulation.PoolSimulation({
    vms: 6, instances: 12, contract: { floorInstances: 2 }, ...options,
  });
  simulation.runFor(5_000);
  simulation.serve = (attempt) => (attempt.vmPlace === 'a' && attempt.instance.place === 'b'
    ? { observation, latencyMs: 500 } : poolSimulation.serveHealthy(attempt));
  let ejections = 0;
  simulation.runFor(30_000, () => {
    ejections += simulation.vms.reduce((sum, vm) => sum + vm.ejected.size, 0);
  });
  // Instances behind the faulty link have a reduced weight although none is ejected.
  vitest.expect(simulation.getStatus('i1')!.weight).toBeLessThan(0.2);
  return ejections;
}

vitest.describe('LinkFaultDetector', () => {
  vitest.it('ejects no instance behind a faulty link, with and without peer messages (guards against treating a link fault as an instance fault)', () => {
    vitest.expect(countEjections('timed-out', {})).toBe(0);
    vitest.expect(countEjections('timed-out', { peers: 'lost' })).toBe(0);
    vitest.expect(countEjections('late', {})).toBe(0);
    vitest.expect(countEjections('failed', { peers: 'lost' })).toBe(0);
    vitest.expect(countEjections('failed', { peers: 'lost', rules: FAULTY_RULES })).toBeGreaterThan(0);
  });

  vitest.it('suspects the link to a place if half of its instances are bad and other places are good (guards against wrong thresholds)', () => {
    const detector = new core.links.LinkFaultDetector();
    const build = (
      place: string,
      observed: readonly core.links.InstanceHealthView['localHealth'][],
      remoteHealth: 'bad' | 'not-bad' = 'not-bad',
    ): core.links.InstanceHealthView[] => observed.map((localHealth) => ({ place, localHealth, remoteHealth }));
    vitest.expect(detector.listSuspectedPlaces([...build('a', ['good']), ...build('b', ['bad', 'bad', 'good', 'good'])])).toEqual(['b']);
    vitest.expect(detector.listSuspectedPlaces([...build('a', ['good']), ...build('b', ['bad', 'good'])])).toEqual([]);
    vitest.expect(detector.listSuspectedPlaces([...build('a', ['good']), ...build('b', ['bad', 'bad'], 'bad')])).toEqual([]);
    vitest.expect(detector.listSuspectedPlaces([...build('a', ['bad', 'bad']), ...build('b', ['bad', 'bad'])])).toEqual([]);
  });
});
