import * as perfHooks from 'node:perf_hooks';
import * as timersPromises from 'node:timers/promises';

/** Gets the time of the monotonic clock, in milliseconds. */
export function getNowMs() {
  return perfHooks.performance.now();
}

/** Waits for a time in milliseconds; returns at once if it is not positive. */
export async function waitMs(delayMs) {
  if (delayMs > 0) await timersPromises.setTimeout(delayMs);
}

/** Waits until a time of the monotonic clock. */
export async function waitUntilMs(atMs) {
  await waitMs(atMs - getNowMs());
}
