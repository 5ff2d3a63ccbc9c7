import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

class AlwaysOpenGate extends core.upstreams.ObservationGate {
  override isOpen(): boolean {
    return true;
  }
}

const FAULTY_RULES = poolSimulation.buildRules({ createObservationGate: () => new AlwaysOpenGate() });

function serveGray(attempt: poolSimulation.Attempt): poolSimulation.Behaviour {
  return { observation: attempt.instance.name === 'i1' ? 'failed' : 'on-time', latencyMs: 30 };
}

/** Counts the ejections and replies of a VM while it is late, and the suspicion left after it. */
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

vitest.describe('EvidenceGate', () => {
  vitest.it('drops evidence and makes no ejection while the VM is late (guards against blaming instances for own pauses)', () => {
    vitest.expect(countEffects(new core.upstreams.UpstreamRules())).toBe(0);
    vitest.expect(countEffects(FAULTY_RULES)).toBeGreaterThan(0);
  });

  vitest.it('ejects after the VM is good again (guards against a gate that stays closed)', () => {
    const simulation = new poolSimulation.PoolSimulation({ serve: serveGray });
    simulation.postAll({ type: 'local-health', health: 'late' });
    simulation.postAll({ type: 'local-health', health: 'good' });
    simulation.runFor(5_000);
    vitest.expect(simulation.listEjected()).toEqual(['i1']);
  });

  vitest.it('drops the evidence of a period whose tick is late (guards against a pause that is noticed after its answers)', () => {
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
