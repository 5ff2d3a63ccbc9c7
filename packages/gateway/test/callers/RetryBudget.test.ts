import * as gateway from '@tamarackferry/gateway';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';

const OPTIONS = { ratio: 0.2, slack: 3, windowMs: 10_000 };

vitest.describe('RetryBudget', () => {
  vitest.it('never exceeds the limit in a sliding window of whole buckets, whatever the order of requests and retries', () => {
    fastCheck.assert(fastCheck.property(
      fastCheck.array(fastCheck.tuple(fastCheck.constantFrom('request', 'retry'), fastCheck.integer({ min: 0, max: 800 })), { maxLength: 200 }),
      (events) => {
        const budget = new gateway.callers.RetryBudget(OPTIONS);
        const sent: { type: string; atMs: number }[] = [];
        events.reduce((nowMs, [type, gapMs]) => {
          const atMs = nowMs + gapMs;
          if (type === 'request') budget.addRequest(atMs);
          if (type === 'request' || budget.take(atMs)) sent.push({ type, atMs });
          return atMs;
        }, 0);
        sent.filter((event) => event.type === 'retry').forEach((retry) => {
          const startMs = (Math.floor(retry.atMs / 1_000) - 9) * 1_000;
          const inWindow = sent.filter((event) => event.atMs >= startMs && event.atMs <= retry.atMs);
          const requests = inWindow.filter((event) => event.type === 'request').length;
          vitest.expect(inWindow.length - requests).toBeLessThanOrEqual(requests * OPTIONS.ratio + OPTIONS.slack);
        });
      },
    ), { seed: 7, numRuns: 200 });
  });
});
