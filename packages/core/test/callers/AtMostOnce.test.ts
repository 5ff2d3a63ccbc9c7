import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as forgetfulLedger from '../faults/ForgetfulLedger.js';
import * as lateDeadlinePolicy from '../faults/LateDeadlinePolicy.js';
import * as looseRetryPolicy from '../faults/LooseRetryPolicy.js';
import * as optimisticInterpreter from '../faults/OptimisticInterpreter.js';
import * as rules from '../faults/rules.js';
import * as testFleet from '../TestFleet.js';

function listViolations(seed: number, vmRules: Partial<core.vms.VmRules> = {}): readonly string[] {
  const fleet = new testFleet.TestFleet(seed, vmRules);
  fleet.run();
  vitest.expect(fleet.told.filter(({ outcome }) => outcome.type === 'answered').length).toBeGreaterThan(20);
  const twice = [...fleet.runs].filter(([, runs]) => runs > 1).map(([id]) => `twice ${id}`);
  const wrong = fleet.told.flatMap(({ id, outcome }) => {
    if (outcome.type === 'not-run') return fleet.runs.has(id) ? [`ran ${id}`] : [];
    return outcome.type === 'answered' && new TextDecoder().decode(outcome.answer.body) !== id ? [`other ${id}`] : [];
  });
  const unreleased = fleet.vms.flatMap((vm) => [...vm.observed.values()]).filter((observations) => observations.length !== 1);
  return [...twice, ...wrong, ...unreleased.map(() => 'attempt not observed once'), ...fleet.lateCount > 0 ? ['sent late'] : []];
}

vitest.describe('at most once over three VMs', () => {
  vitest.it.each([1, 2, 3, 4, 5])('holds with pauses, a replaced VM and lost, duplicated and reordered peer messages, seed %i (guards against second executions)', (seed) => {
    vitest.expect(listViolations(seed)).toEqual([]);
  });

  vitest.it('finds planted faults (guards against a check that sees nothing)', () => {
    const retention = new core.contracts.AnswerRetention();
    const faults: readonly (readonly [string, Partial<core.vms.VmRules>])[] = [
      ['twice', rules.buildCallerRules({ createRetryPolicy: () => new looseRetryPolicy.LooseRetryPolicy() })],
      ['ran', rules.buildCallerRules({ createInterpreter: () => new optimisticInterpreter.OptimisticInterpreter() })],
      ['sent late', rules.buildCallerRules({ createDeadlinePolicy: () => new lateDeadlinePolicy.LateDeadlinePolicy() })],
      ['twice', rules.buildContractRules({
        createLedger: (epochs) => new forgetfulLedger.ForgetfulLedger({ epochs, retention, maxEntries: 1_000 }),
      })],
    ];
    faults.forEach(([violation, fault]) => {
      vitest.expect(listViolations(1, fault).some((found) => found.startsWith(violation))).toBe(true);
    });
  });
});
