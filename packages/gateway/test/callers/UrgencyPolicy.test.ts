import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('PatienceRule', () => {
  vitest.it.each([
    [0, 'normal'], [99, 'normal'], [100, 'urgent'], [349, 'urgent'], [350, 'critical'], [5_000, 'critical'],
  ] as const)('judges a request that waited %d ms of an objective of a second (%s)', (waitedMs, urgency) => {
    vitest.expect(gateway.callers.UrgencyPolicy.computeUrgency(waitedMs, 1_000)).toBe(urgency);
  });
});
