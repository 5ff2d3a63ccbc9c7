import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

function buildAcquire(attemptId: string): Extract<core.upstreams.UpstreamMessage, { type: 'acquire' }> {
  return {
    type: 'acquire', attemptId, excluded: [], replyTo: { post: () => undefined },
  };
}

vitest.describe('AcquireHoldQueue', () => {
  vitest.it('removes each acquire after its hold time, in order of arrival (guards against requests that wait too long for a slow instance)', () => {
    const queue = new core.upstreams.AcquireHoldQueue();
    queue.add(buildAcquire('first'), 8, 0);
    queue.add(buildAcquire('second'), 8, 15);
    vitest.expect(queue.computeDelayMs(15)).toBe(5);
    vitest.expect(queue.removeExpired(20).map((each) => each.attemptId)).toEqual(['first']);
    vitest.expect(queue.getFirst()?.attemptId).toBe('second');
    vitest.expect(queue.removeExpired(Infinity).map((each) => each.attemptId)).toEqual(['second']);
    vitest.expect(queue.computeDelayMs(20)).toBeUndefined();
  });

  vitest.it('holds no more acquires than its limit (guards against an unbounded queue)', () => {
    const queue = new core.upstreams.AcquireHoldQueue();
    const results = ['a', 'b', 'c'].map((attemptId) => queue.add(buildAcquire(attemptId), 2, 0));
    vitest.expect(results).toEqual(['held', 'held', 'full']);
  });
});
