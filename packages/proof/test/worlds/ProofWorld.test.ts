import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

function runSmall(seed: number): { readonly digest: string; readonly onTime: number } {
  const plan = new proof.traces.TraceParser(new proof.traces.DirectoryPresetSource()).parse('deployment small')._unsafeUnwrap().plan;
  const observed = new proof.replay.ObservedWorld({ plan, seed, digest: 'kept' });
  observed.injectAt(8_000, { type: 'freeze', target: 'vm-02' });
  observed.injectAt(9_000, { type: 'restart', target: 'vm-03', coldForMs: 0 });
  observed.injectAt(11_000, { type: 'thaw', target: 'vm-02' });
  observed.world.advanceTo(15_000);
  return { digest: observed.world.computeDigest(), onTime: observed.services.computeOnTimeShare() };
}

vitest.describe('ProofWorld', () => {
  vitest.it('gives the same outputs for the same seed (guards against hidden time or randomness in the decisions)', () => {
    const first = runSmall(7);
    vitest.expect(runSmall(7)).toEqual(first);
    vitest.expect(runSmall(8).digest).not.toBe(first.digest);
    vitest.expect(first.onTime).toBeGreaterThan(0.5);
  });
});
