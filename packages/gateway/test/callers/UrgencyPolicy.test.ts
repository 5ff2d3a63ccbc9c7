import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

vitest.describe('UrgencyPolicy', () => {
  vitest.it.each([
    [0, 'normal'], [99, 'normal'], [100, 'urgent'], [349, 'urgent'], [350, 'critical'], [5_000, 'critical'],
  ] as const)('rates a request that has waited %d ms of an objective of one second as %s', (waitedMs, urgency) => {
    vitest.expect(gateway.callers.UrgencyPolicy.computeUrgency(waitedMs, 1_000)).toBe(urgency);
  });
});
