import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

function buildAcquire(attemptId: string): Extract<core.upstreams.UpstreamMessage, { type: 'acquire' }> {
  return {
    type: 'acquire', attemptId, excluded: [], replyTo: { post: () => undefined },
  };
}

vitest.describe('HeldAcquires', () => {
  vitest.it('gives up each acquire after its time and in order (guards against requests that wait for a slow instance)', () => {
    const held = new core.upstreams.AcquireHoldQueue();
    held.add(buildAcquire('first'), 8, 0);
    held.add(buildAcquire('second'), 8, 15);
    vitest.expect(held.computeDelayMs(15)).toBe(5);
    vitest.expect(held.removeExpired(20).map((each) => each.attemptId)).toEqual(['first']);
    vitest.expect(held.getFirst()?.attemptId).toBe('second');
    vitest.expect(held.removeExpired(Infinity).map((each) => each.attemptId)).toEqual(['second']);
    vitest.expect(held.computeDelayMs(20)).toBeUndefined();
  });

  vitest.it('holds no more than its limit (guards against a queue without bound and without fairness)', () => {
    const held = new core.upstreams.AcquireHoldQueue();
    const results = ['a', 'b', 'c'].map((attemptId) => held.add(buildAcquire(attemptId), 2, 0));
    vitest.expect(results).toEqual(['held', 'held', 'full']);
  });
});
