import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

const RULE = new gateway.callers.AdmissionRule();

vitest.describe('AdmissionRule', () => {
  vitest.it('refuses at once what would still be served after its deadline', () => {
    vitest.expect(RULE.decide({ slots: 4, ahead: 10, serviceMs: 300 }, 500)).toBe('refuse');
    vitest.expect(RULE.decide({ slots: 80, ahead: 3, serviceMs: 300 }, 1_000)).toBe('wait');
    vitest.expect(RULE.decide({ slots: 0, ahead: 0, serviceMs: 300 }, 60_000)).toBe('refuse');
  });

  vitest.it('asks for a later return the longer the queue is, and spreads the returns', () => {
    const short = RULE.computeRetryAfterMs({ slots: 20, ahead: 1, serviceMs: 300 }, 0.5);
    const long = RULE.computeRetryAfterMs({ slots: 20, ahead: 40, serviceMs: 300 }, 0.5);
    vitest.expect(long).toBeGreaterThan(short);
    const load = { slots: 20, ahead: 40, serviceMs: 300 };
    vitest.expect(RULE.computeRetryAfterMs(load, 0.99)).toBeGreaterThan(2 * RULE.computeRetryAfterMs(load, 0));
  });
});
