import * as vitest from 'vitest';

import * as limitReplay from './LimitReplay.js';

const USUAL: limitReplay.LimitReplayOptions = {
  vms: 6, perSecond: 2.6, lostShare: 0, unseenShare: 0, restartIntervalMs: undefined, seed: 1,
};

// Callers need the capacity of an instance with a limit, so that most of it must be used if there is demand.
const MIN_USE = 0.8;

function replay(options: Partial<limitReplay.LimitReplayOptions>): limitReplay.LimitReplay {
  const created = new limitReplay.LimitReplay({ ...USUAL, ...options });
  created.run();
  return created;
}

vitest.describe('replay of a limit', () => {
  vitest.it.each([3, 30, 300].flatMap((vms) => [0, 0.3, 1.2, 2.6, 12].map((perSecond) => [vms, perSecond] as const)))('is kept by all VMs together, and used (%d VMs, %d a second)', (vms, perSecond) => {
    const result = replay({ vms, perSecond });
    vitest.expect(result.computeExcess()).toBeLessThanOrEqual(0);
    if (perSecond > 0) vitest.expect(result.computeUse()).toBeGreaterThanOrEqual(MIN_USE);
  });

  vitest.it.each([3, 30].flatMap((vms) => [1.2, 2.6, 12].map((perSecond) => [vms, perSecond] as const)))('is kept although a third of the reports are lost, VMs are started again and see different members (%d VMs, %d a second)', (vms, perSecond) => {
    const result = replay({
      vms, perSecond, lostShare: 0.33, unseenShare: 0.2, restartIntervalMs: 2_500,
    });
    vitest.expect(result.computeExcess()).toBeLessThanOrEqual(0);
  });
});
