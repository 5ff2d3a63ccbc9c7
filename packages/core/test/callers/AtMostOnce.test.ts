import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as rerunningLedger from '../faults/RerunningLedger.js';
import * as uncheckedDeadlinePolicy from '../faults/UncheckedDeadlinePolicy.js';
import * as unsafeRetryPolicy from '../faults/UnsafeRetryPolicy.js';
import * as resetAsNotRunEvaluator from '../faults/ResetAsNotRunEvaluator.js';
import * as rules from '../faults/rules.js';
import * as testFleet from '../TestFleet.js';

function listViolations(seed: number, vmRules: Partial<core.vms.VmRules> = {}): readonly string[] {
  const fleet = new testFleet.TestFleet(seed, vmRules);
  fleet.run();
  vitest.expect(fleet.deliveredOutcomes.filter(({ outcome }) => outcome.type === 'answered').length).toBeGreaterThan(20);
  const twice = [...fleet.runCounts].filter(([, runs]) => runs > 1).map(([id]) => `twice ${id}`);
  const wrong = fleet.deliveredOutcomes.flatMap(({ id, outcome }) => {
    if (outcome.type === 'not-run') return fleet.runCounts.has(id) ? [`ran ${id}`] : [];
    return outcome.type === 'answered' && new TextDecoder().decode(outcome.answer.body) !== id ? [`other ${id}`] : [];
  });
  const unreleased = fleet.vms.flatMap((vm) => [...vm.observationsByAttempt.values()]).filter((observations) => observations.length !== 1);
  return [...twice, ...wrong, ...unreleased.map(() => 'attempt not observed once'), ...fleet.lateAttemptCount > 0 ? ['sent late'] : []];
}

vitest.describe('at most once over three VMs', () => {
  vitest.it.each([1, 2, 3, 4, 5])('holds with pauses, a replaced VM and lost, duplicated and reordered peer messages, seed %i (guards against second executions)', (seed) => {
    vitest.expect(listViolations(seed)).toEqual([]);
  });

  vitest.it('finds planted faults (guards against a check that sees nothing)', () => {
    const retention = new core.contracts.AnswerRetentionPolicy();
    const faults: readonly (readonly [string, Partial<core.vms.VmRules>])[] = [
      ['twice', rules.buildCallerRules({ createRetryPolicy: () => new unsafeRetryPolicy.UnsafeRetryPolicy() })],
      ['ran', rules.buildCallerRules({ createAttemptEvaluator: () => new resetAsNotRunEvaluator.ResetAsNotRunEvaluator() })],
      ['sent late', rules.buildCallerRules({ createDeadlinePolicy: () => new uncheckedDeadlinePolicy.UncheckedDeadlinePolicy() })],
      ['twice', rules.buildContractRules({
        createLedger: (epochs) => new rerunningLedger.RerunningLedger({ epochs, retention, maxEntries: 1_000 }),
      })],
    ];
    faults.forEach(([violation, fault]) => {
      vitest.expect(listViolations(1, fault).some((found) => found.startsWith(violation))).toBe(true);
    });
  });
});
