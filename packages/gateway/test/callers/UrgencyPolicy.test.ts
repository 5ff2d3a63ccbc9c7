import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('PatienceRule', () => {
  vitest.it.each([
    [0, 'patient'], [99, 'patient'], [100, 'urgent'], [349, 'urgent'], [350, 'pressing'], [5_000, 'pressing'],
  ] as const)('judges a request that waited %d ms of an objective of a second (%s)', (waitedMs, patience) => {
    vitest.expect(gateway.callers.UrgencyPolicy.computeUrgency(waitedMs, 1_000)).toBe(patience);
  });
});
