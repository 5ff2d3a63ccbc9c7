import * as core from '@tamarackferry/core';
import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

import * as forgetfulLedger from '../planted/ForgetfulLedger.js';
import * as plantedRules from '../planted/PlantedRules.js';

vitest.describe('FuzzCampaign', () => {
  vitest.it('gives the same runs for the same seed (guards against failures that cannot be reproduced)', () => {
    const options = { seed: 21, runs: 2, maxCommands: 15 };
    const first = proof.fuzz.FuzzCampaign.run(options)._unsafeUnwrap();
    vitest.expect(proof.fuzz.FuzzCampaign.run(options)._unsafeUnwrap().digest).toBe(first.digest);
  });

  vitest.it('finds no broken promise in a bounded run (guards against faults under combinations that no trace has)', () => {
    vitest.expect(proof.fuzz.FuzzCampaign.run({ seed: 40, runs: 15 })._unsafeUnwrap().failure).toBeUndefined();
  });

  vitest.it('shrinks a planted fault to a trace that shows it again (guards against failures that replay does not show)', () => {
    const rules = plantedRules.PlantedRules.createContracts({
      createLedger: (epochs) => new forgetfulLedger.ForgetfulLedger({
        epochs, retention: new core.contracts.AnswerRetentionPolicy(), maxEntries: 1,
      }),
    });
    const report = proof.fuzz.FuzzCampaign.run({
      seed: 1, runs: 20, maxCommands: 8, rules,
    })._unsafeUnwrap();
    const trace = report.failure?.trace ?? '';
    vitest.expect(proof.replay.TraceReplay.replay(trace, { rules })._unsafeUnwrap().result).toBe('not-met');
    vitest.expect(proof.replay.TraceReplay.replay(trace)._unsafeUnwrap().result).toBe('met');
  });
});
