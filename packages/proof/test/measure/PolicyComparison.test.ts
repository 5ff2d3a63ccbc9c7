import * as proof from '@tamarackferry/proof';
import * as vitest from 'vitest';

const PLAN = new proof.traces.TraceParser(new proof.traces.DirectoryPresetSource()).parse('deployment small')._unsafeUnwrap().plan;

const FIGURES: Omit<proof.measure.PolicyFigures, 'policy'> = {
  deployment: 'small', fault: 'slow', exposuresMs: [4_000, 2_000, 9_000], falseEjections: 0, instanceHours: 2, onTimeShare: 0.99, extraLoad: 0.02, violations: {},
};

vitest.describe('PolicyComparison', () => {
  vitest.it('marks each target of the own policy (guards against a table that shows a missed target as met)', () => {
    const rows = new proof.measure.PolicyComparison(PLAN).buildRows([
      {
        ...FIGURES, policy: 'own', falseEjections: 4, extraLoad: 0.2, violations: { P1: 1 },
      },
      { ...FIGURES, policy: 'no-ejection', onTimeShare: 0.995 },
    ]);
    vitest.expect(rows[0]).toMatchObject({
      exposureMedianMs: 4_000,
      exposureP99Ms: 9_000,
      falseEjectionsPerInstanceHour: 2,
      cost: 15,
      targets: {
        cost: 'not-met', share: 'not-met', extraLoad: 'not-met', promises: 'not-met',
      },
    });
    vitest.expect(rows[1]).toMatchObject({ cost: 5, targets: undefined });
  });
});
