import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

/** Defective record that reports no incarnation as draining; the tests must detect it. */
class EmptyDrainRecord extends core.upstreams.DrainRecord {
  override has(): boolean {
    return false;
  }
}

const FAULTY_RULES = poolSimulation.buildRules({ createDrainRecord: () => new EmptyDrainRecord() });

type Signal = (simulation: poolSimulation.PoolSimulation) => void;

const LEAVING = { service: 's', instance: 'i1', incarnation: 'x' };

// All ways by which a VM receives the signal that instance i1 is draining.
const SIGNALS: Record<string, Signal> = {
  'list entry': (simulation) => simulation.vms[0]!.task.post({
    type: 'list', entries: poolSimulation.buildEntries(6).map((entry) => (entry.name === 'i1' ? { ...entry, state: 'leaving' } : entry)),
  }),
  'peer notice': (simulation) => simulation.vms[0]!.task.post({ type: 'drain', notices: [LEAVING] }),
  'drain header': (simulation) => Object.assign(simulation, {
    serve: (attempt: poolSimulation.Attempt) => ({
      observation: 'on-time', latencyMs: 5, ...(attempt.instance.name === 'i1' ? { drain: 'leaving' } : {}),
    }),
  }),
  'not-run answer': (simulation) => Object.assign(simulation, {
    serve: (attempt: poolSimulation.Attempt) => ({ observation: attempt.instance.name === 'i1' ? 'draining' : 'on-time', latencyMs: 5 }),
  }),
};

/** Counts the attempts at a draining incarnation after stale lists named it as live again. */
function countAttemptsAfterDrain(signal: Signal, rules = new core.upstreams.UpstreamRules()): number {
  const simulation = new poolSimulation.PoolSimulation({ vms: 6, rules });
  simulation.runFor(3_000);
  signal(simulation);
  simulation.runFor(1_000);
  const before = simulation.attempts.get('i1/x')!;
  simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(6) });
  simulation.runFor(2_000);
  simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(5) });
  simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(6) });
  simulation.runFor(2_000);
  return simulation.attempts.get('i1/x')! - before;
}

vitest.describe('DrainRecord', () => {
  Object.entries(SIGNALS).forEach(([name, signal]) => {
    vitest.it(`sends no new attempts to an incarnation after a drain signal by ${name}, although stale lists name it as live (guards against a drain that a stale list revokes)`, () => {
      vitest.expect(countAttemptsAfterDrain(signal)).toBe(0);
      vitest.expect(countAttemptsAfterDrain(signal, FAULTY_RULES)).toBeGreaterThan(0);
    });
  });

  vitest.it('sends attempts to a new incarnation, but not again to the drained one (guards against drains recorded by instance name only)', () => {
    const simulation = new poolSimulation.PoolSimulation();
    simulation.postAll({ type: 'drain', notices: [LEAVING] });
    const replaced = poolSimulation.buildEntries(6).map((entry) => (entry.name === 'i1' ? { ...entry, incarnation: 'y' } : entry));
    simulation.postAll({ type: 'list', entries: replaced });
    simulation.runFor(15_000);
    vitest.expect(simulation.attempts.get('i1/y')).toBeGreaterThan(50);
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(6) });
    simulation.runFor(2_000);
    vitest.expect(simulation.attempts.get('i1/x')).toBeUndefined();
  });

  vitest.it('pushes each drain notice to peers once (guards against notices that circulate between VMs forever)', () => {
    const simulation = new poolSimulation.PoolSimulation({ vms: 4 });
    SIGNALS['peer notice']!(simulation);
    simulation.runFor(1_000);
    const pushes = simulation.peerMessages.filter((message) => message.type === 'push');
    vitest.expect(pushes).toHaveLength(4);
    vitest.expect(pushes[0]).toEqual({ type: 'push', message: { type: 'drain', notices: [LEAVING] } });
  });

  vitest.it('evicts only entries that the list no longer contains (guards against unbounded memory and against lost drains)', () => {
    const record = new core.upstreams.DrainRecord();
    Array.from({ length: 5_000 }, (_, index) => record.add({ instance: `i${index}`, incarnation: 'x' }));
    record.prune([{ instance: 'i0', incarnation: 'x' }]);
    vitest.expect(record.list()).toHaveLength(4_096);
    vitest.expect(record.has({ instance: 'i0', incarnation: 'x' })).toBe(true);
    vitest.expect(record.has({ instance: 'i1', incarnation: 'x' })).toBe(false);
  });
});
