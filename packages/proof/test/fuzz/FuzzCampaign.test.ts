import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

vitest.describe('FuzzCampaign', () => {
  vitest.it('gives the same runs for the same seed (guards against failures that cannot be reproduced)', () => {
    const options = { seed: 21, runs: 2, maxCommands: 15 };
    const first = proof.fuzz.FuzzCampaign.run(options)._unsafeUnwrap();
    vitest.expect(proof.fuzz.FuzzCampaign.run(options)._unsafeUnwrap().digest).toBe(first.digest);
  });
});
