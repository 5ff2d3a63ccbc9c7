import * as core from '@tamarackferry/core';
import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

import * as carelessDocumentOrder from './CarelessDocumentOrder.js';
import * as deafDrainRecord from './DeafDrainRecord.js';
import * as forgetfulLedger from './ForgetfulLedger.js';
import * as hastyInterpreter from './HastyInterpreter.js';
import * as leavingAddressChoice from './LeavingAddressChoice.js';
import * as plantedRules from './PlantedRules.js';
import * as trustingInterpreter from './TrustingInterpreter.js';
import * as unboundedFloor from './UnboundedFloor.js';

interface PlantedCase {
  readonly promise: proof.promises.PromiseName;
  readonly fault: string;
  readonly lines: readonly string[];
  readonly rules: Partial<core.vms.VmRules>;
}

const { PlantedRules } = plantedRules;

const CASES: readonly PlantedCase[] = [
  {
    promise: 'P1',
    fault: 'a floor that is not kept',
    lines: ['end 70s', 'at 8s gray orders-02 failing', 'at 8s gray orders-03 failing', 'at 40s document orders floor=5'],
    rules: PlantedRules.createUpstreams({ createFloor: () => new unboundedFloor.UnboundedFloor() }),
  },
  {
    promise: 'P2',
    fault: 'an answer whose echo is not compared',
    lines: ['end 15s', 'at 8s gray orders-02 crossed share=0.5'],
    rules: PlantedRules.createCallers({ createAttemptEvaluator: () => new trustingInterpreter.TrustingInterpreter() }),
  },
  {
    promise: 'P3',
    fault: 'a broken answer taken as not run',
    lines: ['end 15s', ...[1, 2, 3, 4, 5].map((index) => `at 8s gray orders-0${index} truncated`)],
    rules: PlantedRules.createCallers({ createAttemptEvaluator: () => new hastyInterpreter.HastyInterpreter() }),
  },
  {
    promise: 'P4',
    fault: 'an operation that is not recorded',
    lines: ['end 15s', 'at 8s request o1 orders register via=vm-01', 'at 9s repeat o1 via=vm-02'],
    rules: PlantedRules.createContracts({
      createLedger: (epochs) => new forgetfulLedger.ForgetfulLedger({
        epochs, retention: new core.contracts.AnswerRetentionPolicy(), maxEntries: 1,
      }),
    }),
  },
  {
    promise: 'P5',
    fault: 'a drain signal that is not kept',
    lines: ['end 22s', 'at 6s list-lag 1h', 'at 8s drain orders-02'],
    rules: PlantedRules.createUpstreams({ createDrainRecord: () => new deafDrainRecord.DeafDrainRecord() }),
  },
  {
    promise: 'P6',
    fault: 'addresses of leaving VMs',
    lines: ['end 40s', 'at 8s stop vm-02', 'at 9s list-lag 1h'],
    rules: PlantedRules.createCallers({ createAddressSelectionPolicy: (random) => new leavingAddressChoice.LeavingAddressChoice(random) }),
  },
  {
    promise: 'P7',
    fault: 'an older document that is accepted',
    lines: ['end 25s', 'at 8s document orders floor=2', 'at 12s platform stale version=1', 'at 13s restart vm-03'],
    rules: PlantedRules.createContracts({ createDocumentOrder: () => new carelessDocumentOrder.CarelessDocumentOrder() }),
  },
];

vitest.describe('planted faults', () => {
  vitest.it.each(CASES)('$promise: $fault is seen, and its absence is not (guards against an oracle that sees nothing)', ({ promise, lines, rules }) => {
    const { run } = proof.replay.TraceReplay;
    const trace = new proof.traces.TraceParser(new proof.traces.DirectoryPresetSource())
      .parse(['deployment small', 'seed 3', ...lines].join('\n'))._unsafeUnwrap();
    vitest.expect(run(trace).verdicts.at(-1)?.seen).toBe('no violation');
    vitest.expect(run(trace, rules).verdicts.at(-1)?.seen).toContain(`${promise} at`);
  });
});
