import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

const STALLED_MS = 2_000;
const CROWD = 20_000;
const MIB = 1_048_576;

/** Holder that releases its bytes when it is evicted, and counts how often it is asked whether it is evictable. */
class TestHolder implements front.links.ByteHolder {
  state: 'incomplete' | 'complete' | 'evicted' = 'incomplete';

  questions = 0;

  isEvictable(): boolean {
    this.questions += 1;
    return this.state === 'incomplete';
  }

  evict(): void {
    this.state = 'evicted';
  }

  /** Sets the state, unless the holder was evicted. */
  settle(state: 'incomplete' | 'complete'): void {
    if (this.state !== 'evicted') this.state = state;
  }
}

vitest.describe('ByteBudget', () => {
  let nowMs = 0;

  function createBudget(limitBytes: number): front.links.ByteBudget {
    nowMs = 0;
    return new front.links.ByteBudget(limitBytes, {
      minEvictedBytes: 0, crowdShare: 0.5, stalledMs: STALLED_MS, timers: { getNowMs: () => nowMs },
    });
  }

  vitest.it('evicts a holder with most bytes', () => {
    const budget = createBudget(1_000);
    const [large, small] = [new TestHolder(), new TestHolder()];
    budget.add(large, 700);
    budget.add(small, 400);
    vitest.expect([large.state, small.state]).toEqual(['evicted', 'incomplete']);
    vitest.expect(budget.getHeldBytes()).toBe(400);
  });

  vitest.it('lets a single large holder use all of the limit, and several only a part', () => {
    const budget = createBudget(20 * MIB);
    const holders = Array.from({ length: 4 }, () => new TestHolder());
    budget.add(holders[0]!, 16 * MIB);
    vitest.expect(holders[0]!.state).toBe('incomplete');
    holders.slice(1, 3).forEach((holder) => budget.add(holder, MIB));
    // A few uploads at a time are within the limits of callers.
    vitest.expect(holders[0]!.state).toBe('incomplete');
    budget.add(holders[3]!, MIB);
    vitest.expect(holders.map((holder) => holder.state)).toEqual(['evicted', 'incomplete', 'incomplete', 'incomplete']);
  });

  // Guards against a crowd of bodies that escapes the part for several large ones because each is a little shorter than the largest.
  vitest.it.each([65_536, 250_000, 1_000_000, 16 * MIB])('lets a crowd of holders of %i bytes use only a part of the limit', (bytes) => {
    const budget = createBudget(40 * bytes);
    const holders = Array.from({ length: 30 }, () => new TestHolder());
    holders.forEach((holder) => budget.add(holder, bytes));
    vitest.expect(holders.filter((holder) => holder.state === 'incomplete')).toHaveLength(20);
    vitest.expect(budget.getHeldBytes()).toBe(20 * bytes);
  });

  // Guards against bodies that stop short of their end and keep out all longer ones that make progress.
  vitest.it('evicts a holder that has stalled before a larger one that grows', () => {
    const budget = createBudget(1_000);
    const [stalled, growing] = [new TestHolder(), new TestHolder()];
    budget.add(stalled, 100);
    nowMs = STALLED_MS;
    budget.add(growing, 700);
    budget.add(growing, 250);
    vitest.expect([stalled.state, growing.state]).toEqual(['evicted', 'incomplete']);
  });

  // Guards against many short bodies, none of which is large enough to be given up for the others.
  vitest.it('refuses what comes last if everything else is complete, however short', () => {
    const budget = createBudget(1_000);
    const holders = Array.from({ length: 200 }, () => new TestHolder());
    holders.forEach((holder) => {
      budget.add(holder, 10);
      holder.settle('complete');
    });
    vitest.expect(holders.filter((holder) => holder.state === 'complete')).toHaveLength(100);
    vitest.expect(budget.getHeldBytes()).toBe(1_000);
  });

  vitest.it('counts data that is held in any case without evicting for it', () => {
    const budget = createBudget(1_000);
    const [first, kept] = [new TestHolder(), new TestHolder()];
    kept.state = 'complete';
    budget.add(first, 600);
    budget.record(kept, 600);
    vitest.expect(first.state).toBe('incomplete');
    vitest.expect(budget.countExcess()).toBeGreaterThan(0);
  });

  // Guards against evictions whose work grows with the number of holders, so that a crowd keeps the process busy.
  vitest.it.each(['incomplete', 'complete'] as const)('looks at few holders for each eviction beside a crowd of %s ones', (state) => {
    const budget = createBudget(CROWD);
    const crowd = Array.from({ length: CROWD }, () => new TestHolder());
    crowd.forEach((holder) => {
      budget.add(holder, 1);
      holder.settle(state);
    });
    const later = Array.from({ length: CROWD }, () => new TestHolder());
    later.forEach((holder) => budget.add(holder, 1));
    const questions = [...crowd, ...later].reduce((sum, holder) => sum + holder.questions, 0);
    vitest.expect(questions).toBeLessThanOrEqual(10 * CROWD);
    vitest.expect(budget.getHeldBytes()).toBe(CROWD);
  });
});
