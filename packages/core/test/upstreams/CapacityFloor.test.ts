import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

/** Defective floor that permits every ejection and reinstates no instance; the tests must detect it. */
class UnboundedFloor extends core.upstreams.CapacityFloor {
  override canEject(): boolean {
    return true;
  }

  override listReinstatements(): readonly core.upstreams.Instance[] {
    return [];
  }
}

const FAULTY_RULES = poolSimulation.buildRules({ createFloor: () => new UnboundedFloor() });

const GRAY_INSTANCES = ['i0', 'i1', 'i2'];

function serveGray(attempt: poolSimulation.Attempt): poolSimulation.Behaviour {
  return GRAY_INSTANCES.includes(attempt.instance.name) ? { observation: 'failed', latencyMs: 20 } : { observation: 'on-time', latencyMs: 30 };
}

function createPool(options: poolSimulation.SimulationOptions): poolSimulation.PoolSimulation {
  return new poolSimulation.PoolSimulation({
    vms: 3, instances: 9, serve: serveGray, ...options,
  });
}

/** Counts the checks, every 250 ms, at which a VM has ejected instances and fewer instances than the floor have full weight there. */
function countViolations(simulation: poolSimulation.PoolSimulation, floorInstances: number, durationMs = 15_000): number {
  let violations = 0;
  simulation.runFor(durationMs, () => {
    simulation.vms.forEach((vm) => {
      const fullWeightCount = vm.task.getStatus().instances.filter((each) => each.state === 'in-service' && each.weight === 1).length;
      if (vm.ejected.size > 0 && fullWeightCount < floorInstances) violations += 1;
    });
  });
  return violations;
}

vitest.describe('CapacityFloor', () => {
  vitest.it('ejects no instance if fewer than the floor would remain healthy (guards against too few instances in rotation)', () => {
    (['prompt', 'cautious', 'consecutive-errors', 'outlier-percentage'] as const).forEach((detection) => {
      vitest.expect(countViolations(createPool({ contract: { detection, floorInstances: 8 } }), 8)).toBe(0);
    });
    vitest.expect(countViolations(createPool({ contract: { floorInstances: 6 }, rules: FAULTY_RULES }), 8)).toBeGreaterThan(0);
  });

  vitest.it('reinstates immediately when the floor is raised, instances drain or vanish, or peers eject (guards against a floor that is checked only at ejection)', () => {
    const changes: ((simulation: poolSimulation.PoolSimulation) => void)[] = [
      (simulation) => simulation.postAll({ type: 'contract', contract: poolSimulation.buildContract({ floorInstances: 7 }) }),
      (simulation) => simulation.postAll({ type: 'drain', notices: [{ service: 's', instance: 'i7', incarnation: 'x' }] }),
      (simulation) => simulation.postAll({ type: 'peer-ejections', from: 'other', instances: ['i8'] }),
      (simulation) => simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(7) }),
      // The new incarnation of i8 is cold and does not count as healthy.
      (simulation) => simulation.postAll({
        type: 'list', entries: [...poolSimulation.buildEntries(8), { ...poolSimulation.buildEntries(9)[8]!, incarnation: 'y' }],
      }),
    ];
    changes.forEach((change) => {
      [new core.upstreams.UpstreamRules(), FAULTY_RULES].forEach((rules) => {
        const simulation = createPool({ vms: 1, contract: { floorInstances: 6 }, rules });
        simulation.runFor(6_000);
        vitest.expect(simulation.listEjected()).toEqual(GRAY_INSTANCES);
        change(simulation);
        vitest.expect(simulation.listEjected()).toEqual(rules === FAULTY_RULES ? GRAY_INSTANCES : []);
      });
    });
  });

  vitest.it('keeps the last instance in service if the contract declares no floor (guards against a service without instances)', () => {
    const contract = { floorInstances: 0, detection: 'consecutive-errors' } as const;
    const oneGray = createPool({
      instances: 2,
      contract,
      serve: (attempt) => (attempt.instance.name === 'i0' ? { observation: 'failed', latencyMs: 20 } : { observation: 'on-time', latencyMs: 30 }),
    });
    oneGray.runFor(5_000);
    vitest.expect(oneGray.listEjected()).toEqual(['i0']);
    // With gray failures of both, the remaining instance would not be confirmed healthy, so neither is ejected.
    const bothGray = createPool({ instances: 2, contract });
    bothGray.runFor(5_000);
    vitest.expect(bothGray.listEjected()).toEqual([]);
  });

  vitest.it('counts only instances with an on-time answer in the last 15 s (guards against ejections by a VM with too few observations)', () => {
    const createInstance = (): core.upstreams.Instance => new core.upstreams.Instance({
      address: {
        service: 's', name: 'i', incarnation: 'x', host: '10.0.0.1', port: 1, place: 'a',
      },
      coldSinceMs: -Infinity,
      limit: new core.upstreams.ConcurrencyLimit(4),
    });
    const [candidate, other] = [createInstance(), createInstance()];
    const canEject = (nowMs: number): boolean => new core.upstreams.CapacityFloor().canEject(candidate, {
      instances: [candidate, other],
      peerEjections: new core.upstreams.PeerEjections(),
      peerSuspicions: new core.upstreams.PeerSuspicions(),
      floorInstances: 1,
      nowMs,
    });
    vitest.expect(canEject(1_000)).toBe(false);
    other.recordOnTime(1_000);
    vitest.expect(canEject(16_000)).toBe(true);
    vitest.expect(canEject(16_001)).toBe(false);
  });
});
