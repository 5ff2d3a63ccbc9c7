import * as gateway from '@tamarackferry/gateway';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';

const RATIO = 0.2;
const SLACK = 24;
const WINDOW_MS = 10_000;
const STEP_MS = 100;
const VMS = 6;
const OPTIONS = { ratio: RATIO, slack: SLACK / VMS, windowMs: WINDOW_MS };

interface Sent {
  readonly type: 'request' | 'retry';
  readonly atMs: number;
}

/** Spell of requests or of wanted retries at one VM. */
type Spell = readonly ['request' | 'retry' | 'restart', vm: number, startMs: number, gapMs: number, count: number];

// Counts what was sent in a window, whose start does not belong to it.
function count(sent: readonly Sent[], type: Sent['type'], endMs: number): number {
  return sent.filter((event) => event.type === type && event.atMs > endMs - WINDOW_MS && event.atMs <= endMs).length;
}

// Lists the windows with more retries than the rule of the platform allows: the ratio of the requests in that window, in the one before it
// or in the one half a window before it, whichever has most, and the slack.
function listBroken(sent: readonly Sent[]): string[] {
  const last = Math.max(0, ...sent.map((event) => event.atMs));
  return Array.from({ length: Math.ceil((last + WINDOW_MS) / STEP_MS) }, (_, index) => index * STEP_MS).flatMap((endMs) => {
    const retries = count(sent, 'retry', endMs);
    const requests = Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map((earlierMs) => count(sent, 'request', endMs - earlierMs)));
    return retries > requests * RATIO + SLACK ? [`${endMs} ms: ${retries} retries, ${requests} requests`] : [];
  });
}

// Sends what the budgets of the VMs allow.
function replaySpells(spells: readonly Spell[]): Sent[] {
  const budgets = Array.from({ length: VMS }, () => new gateway.callers.RetryBudget(OPTIONS));
  const events = spells.flatMap(([type, vm, startMs, gapMs, number]) => (
    Array.from({ length: type === 'restart' ? 1 : number }, (_, index) => ({ type, vm, atMs: startMs + index * gapMs }))
  )).sort((left, right) => left.atMs - right.atMs);
  return events.flatMap(({ type, vm, atMs }): Sent[] => {
    if (type === 'restart') {
      budgets[vm] = new gateway.callers.RetryBudget(OPTIONS);
      return [];
    }
    if (type === 'request') budgets[vm]!.addRequest(atMs);
    return type === 'request' || budgets[vm]!.take(atMs) ? [{ type, atMs }] : [];
  });
}

vitest.describe('RetryBudget', () => {
  // Guards against retries in spells that a window of whole seconds does not count.
  vitest.it('allows no more retries than the share of the requests in a sliding window, with spells at its ends', () => {
    const steady = Array.from({ length: VMS }, (_, vm): Spell => ['request', vm, 0, 50, 800]);
    const spells = [20_900, 30_000].flatMap((startMs) => steady.map((_, vm): Spell => ['retry', vm, startMs, 1, 100]));
    vitest.expect(listBroken(replaySpells([...steady, ...spells]))).toEqual([]);
  });

  // Guards against retries that were saved up at one VM and are sent once more by the VM that takes over.
  vitest.it('keeps to the share when requests and failures move from VM to VM', () => {
    const spells = Array.from({ length: VMS }, (_, vm): Spell[] => [
      ['request', vm, vm * 3_000, 10, 300],
      ['retry', vm, vm * 3_000 + 2_900, 1, 200],
    ]).flat();
    vitest.expect(listBroken(replaySpells(spells))).toEqual([]);
  });

  vitest.it('keeps to the share whatever the order of requests, failures and restarts of all VMs', () => {
    const spell: fastCheck.Arbitrary<Spell> = fastCheck.tuple(
      fastCheck.constantFrom('request', 'retry', 'restart'),
      fastCheck.integer({ min: 0, max: VMS - 1 }),
      fastCheck.integer({ min: 0, max: 30_000 }),
      fastCheck.integer({ min: 1, max: 200 }),
      fastCheck.integer({ min: 1, max: 150 }),
    );
    fastCheck.assert(fastCheck.property(fastCheck.array(spell, { maxLength: 25 }), (spells) => {
      vitest.expect(listBroken(replaySpells(spells))).toEqual([]);
    }), { seed: 7, numRuns: 100 });
  });

  vitest.it('uses most of what is allowed when some requests fail all the time', () => {
    const steady = Array.from({ length: VMS }, (_, vm): Spell => ['request', vm, 0, 50, 800]);
    const sent = replaySpells([...steady, ...steady.map((_, vm): Spell => ['retry', vm, 10_000, 100, 300])]);
    vitest.expect(count(sent, 'retry', 40_000)).toBeGreaterThan(0.9 * RATIO * count(sent, 'request', 40_000));
  });

  vitest.it('lets the first request that fails be sent again', () => {
    const budget = new gateway.callers.RetryBudget(OPTIONS);
    budget.addRequest(0);
    vitest.expect(budget.take(10)).toBe(true);
  });
});
