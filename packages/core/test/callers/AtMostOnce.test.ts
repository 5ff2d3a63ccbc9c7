import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as rerunningLedger from '../faults/RerunningLedger.js';
import * as resetAsNotRunEvaluator from '../faults/ResetAsNotRunEvaluator.js';
import * as rules from '../faults/rules.js';
import * as uncheckedDeadlinePolicy from '../faults/UncheckedDeadlinePolicy.js';
import * as unsafeRetryPolicy from '../faults/UnsafeRetryPolicy.js';
import * as testFleet from '../TestFleet.js';

// Runs the simulated fleet and returns the violations of execution at most once.
function listViolations(seed: number, vmRules: Partial<core.vms.VmRules> = {}): readonly string[] {
  const fleet = new testFleet.TestFleet(seed, vmRules);
  fleet.run();
  vitest.expect(fleet.deliveredOutcomes.filter(({ outcome }) => outcome.type === 'answered').length).toBeGreaterThan(20);
  const executedTwice = [...fleet.runCounts].filter(([, runs]) => runs > 1).map(([id]) => `executed twice ${id}`);
  const wrong = fleet.deliveredOutcomes.flatMap(({ id, outcome }) => {
    if (outcome.type === 'not-run') return fleet.runCounts.has(id) ? [`executed despite not-run ${id}`] : [];
    return outcome.type === 'answered' && new TextDecoder().decode(outcome.answer.body) !== id ? [`answer of another operation ${id}`] : [];
  });
  const misobserved = fleet.vms.flatMap((vm) => [...vm.observationsByAttempt.values()]).filter((observations) => observations.length !== 1);
  return [...executedTwice, ...wrong, ...misobserved.map(() => 'attempt not observed exactly once'), ...fleet.lateAttemptCount > 0 ? ['sent after the deadline'] : []];
}

vitest.describe('execution at most once with three VMs', () => {
  vitest.it.each([1, 2, 3, 4, 5])('holds when VMs pause, a VM is replaced and peer messages are lost, duplicated and reordered, seed %i (guards against second executions)', (seed) => {
    vitest.expect(listViolations(seed)).toEqual([]);
  });

  vitest.it('detects injected faults (guards against a check that cannot fail)', () => {
    const retention = new core.contracts.AnswerRetentionPolicy();
    const faults: readonly (readonly [string, Partial<core.vms.VmRules>])[] = [
      ['executed twice', rules.buildCallerRules({ createRetryPolicy: () => new unsafeRetryPolicy.UnsafeRetryPolicy() })],
      ['executed despite not-run', rules.buildCallerRules({ createAttemptEvaluator: () => new resetAsNotRunEvaluator.ResetAsNotRunEvaluator() })],
      ['sent after the deadline', rules.buildCallerRules({ createDeadlinePolicy: () => new uncheckedDeadlinePolicy.UncheckedDeadlinePolicy() })],
      ['executed twice', rules.buildContractRules({
        createLedger: (epochs) => new rerunningLedger.RerunningLedger({ epochs, retention, maxEntries: 1_000 }),
      })],
    ];
    faults.forEach(([violation, fault]) => {
      vitest.expect(listViolations(1, fault).some((found) => found.startsWith(violation))).toBe(true);
    });
  });
});
