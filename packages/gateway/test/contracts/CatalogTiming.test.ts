import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

const {
  READ_TIMEOUT_MS, WATCH_PAUSE_MS, FIRST_RETRY_MS, CALL_AND_FETCH_MS, SILENCE_SPREAD_MS,
} = gateway.contracts;

vitest.describe('CatalogTiming', () => {
  // Guards against time-outs that fit into a bound one by one, but not together.
  vitest.it.each([2_000, 3_000, 5_000])('reads changes behind a silent connection before a stable window of %i ms is over', (stableWindowMs) => {
    const timing = new gateway.contracts.CatalogTiming({ stableWindowMs, configApplyMs: 2_000 });
    [0, WATCH_PAUSE_MS].forEach((pauseMs) => {
      const chainMs = pauseMs + timing.computeWatchWaitMs(pauseMs) + READ_TIMEOUT_MS + 1.5 * FIRST_RETRY_MS + CALL_AND_FETCH_MS;
      vitest.expect(chainMs).toBeLessThanOrEqual(stableWindowMs);
    });
  });

  vitest.it.each([2_000, 3_000])('applies a configuration within %i ms although all watchers fail right after it is published', (configApplyMs) => {
    const timing = new gateway.contracts.CatalogTiming({ stableWindowMs: 3_000, configApplyMs });
    const chainMs = WATCH_PAUSE_MS + timing.computeWatcherSilenceMs() + SILENCE_SPREAD_MS + CALL_AND_FETCH_MS;
    vitest.expect(chainMs).toBeLessThanOrEqual(configApplyMs);
  });

  vitest.it.each([2_000, 3_000])('applies a configuration within %i ms although the update of the watchers cannot be read', (configApplyMs) => {
    // The watchers pause, the update is fetched from them, and the store is read instead.
    const chainMs = WATCH_PAUSE_MS + CALL_AND_FETCH_MS + SILENCE_SPREAD_MS + CALL_AND_FETCH_MS;
    vitest.expect(chainMs).toBeLessThanOrEqual(configApplyMs);
  });

  vitest.it('ends the retention of instances before a VM that was cut off alone counts as undisturbed again', () => {
    const timing = new gateway.contracts.CatalogTiming({ stableWindowMs: 3_000, configApplyMs: 2_000 });
    vitest.expect(timing.computeRetentionEndMs(11_500, 10_000)).toBeLessThan(13_000);
    vitest.expect(timing.computeRetentionEndMs(11_500, Infinity)).toBeGreaterThan(13_500);
  });
});
