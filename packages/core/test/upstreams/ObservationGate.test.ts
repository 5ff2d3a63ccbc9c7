import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

/** Defective gate that admits the observations of a VM whose timers fire late; the tests must detect it. */
class AlwaysOpenGate extends core.upstreams.ObservationGate {
  override isOpen(): boolean {
    return true;
  }
}

const FAULTY_RULES = poolSimulation.buildRules({ createObservationGate: () => new AlwaysOpenGate() });

function serveGray(attempt: poolSimulation.Attempt): poolSimulation.Behaviour {
  return { observation: attempt.instance.name === 'i1' ? 'failed' : 'on-time', latencyMs: 30 };
}

/** Counts the ejection notices and evidence replies of a VM whose timers fire late, plus 1 if it reduced the weight of an instance. */
function countEffects(rules: core.upstreams.UpstreamRules): number {
  const simulation = new poolSimulation.PoolSimulation({ rules });
  simulation.runFor(5_000);
  simulation.serve = serveGray;
  simulation.runFor(200);
  simulation.postAll({ type: 'local-health', health: 'late' });
  simulation.runFor(5_000);
  simulation.postAll({ type: 'evidence-requested', from: 'other', instances: ['i1'] });
  const messages = simulation.peerMessages.filter((message) => message.type === 'ejections-changed' || message.type === 'send').length;
  return messages + (simulation.getStatus('i1')!.weight < 1 ? 1 : 0);
}

vitest.describe('ObservationGate', () => {
  vitest.it('discards observations and ejects no instance while timers of the VM fire late (guards against ejections caused by pauses of the VM)', () => {
    vitest.expect(countEffects(new core.upstreams.UpstreamRules())).toBe(0);
    vitest.expect(countEffects(FAULTY_RULES)).toBeGreaterThan(0);
  });

  vitest.it('ejects again after timers of the VM fire on time (guards against a gate that stays closed)', () => {
    const simulation = new poolSimulation.PoolSimulation({ serve: serveGray });
    simulation.postAll({ type: 'local-health', health: 'late' });
    simulation.postAll({ type: 'local-health', health: 'good' });
    simulation.runFor(5_000);
    vitest.expect(simulation.listEjected()).toEqual(['i1']);
  });

  vitest.it('discards the observations of a period whose tick is late (guards against a pause that is detected only after its answers)', () => {
    const weights = (['paused', 'running'] as const).map((mode) => {
      const simulation = new poolSimulation.PoolSimulation();
      simulation.runFor(2_000);
      simulation.serve = serveGray;
      Array.from({ length: 20 }, () => simulation.sendRequest());
      if (mode === 'paused') simulation.timers.moveTo(7_000);
      simulation.timers.advanceTo(7_000);
      return simulation.getStatus('i1')!.weight;
    });
    vitest.expect(weights[0]).toBe(1);
    vitest.expect(weights[1]).toBeLessThan(1);
  });
});
