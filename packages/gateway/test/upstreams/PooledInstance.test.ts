import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

const RECORD = testRoute.buildInstance('i1');
const NO_LIMIT: gateway.upstreams.StatedLimit = { type: 'none' };

function buildLimit(perSecond: number): gateway.upstreams.StatedLimit {
  return { type: 'stated', perSecond };
}

type Instance = gateway.upstreams.PooledInstance;

function endAttempt(instance: Instance, attemptId: string, limit: gateway.upstreams.StatedLimit, nowMs: number): void {
  instance.endAttempt(attemptId, testGateway.TestGateway.buildAnswer(200, { limit }), nowMs);
}

function buildInstance(attempts: readonly (readonly [string, number])[]): Instance {
  const instance = new gateway.upstreams.PooledInstance(RECORD, 0);
  attempts.forEach(([attemptId, atMs]) => instance.beginAttempt(attemptId, atMs, new gateway.upstreams.DurationSamples(1_000)));
  return instance;
}

vitest.describe('PooledInstance', () => {
  vitest.it('keeps to the limit of the latest request, also if an earlier one is answered later', () => {
    const instance = buildInstance([['before', 10], ['during', 20], ['after', 30]]);
    endAttempt(instance, 'during', buildLimit(2), 100);
    vitest.expect(instance.getLimit()).toBe(2);
    endAttempt(instance, 'before', NO_LIMIT, 110);
    vitest.expect(instance.getLimit()).toBe(2);
    endAttempt(instance, 'after', NO_LIMIT, 120);
    vitest.expect(instance.getLimit()).toBeUndefined();
  });

  vitest.it('keeps a limit although a later value cannot be read', () => {
    const instance = buildInstance([['a', 10], ['b', 20]]);
    endAttempt(instance, 'a', buildLimit(2), 100);
    endAttempt(instance, 'b', { type: 'unreadable', text: '-1' }, 110);
    vitest.expect(instance.getLimit()).toBe(2);
  });

  vitest.it('does not hold the next process of an instance to the limit of the previous one, whoever reports it', () => {
    const instance = buildInstance([['a', 10]]);
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 0, limit: { perSecond: 2, ageMs: 50, sent: 1 } }, 100);
    vitest.expect(instance.getLimit()).toBe(2);
    instance.update({ ...RECORD, startedAtMs: 2 }, 200);
    vitest.expect(instance.getLimit()).toBeUndefined();
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 0, limit: { perSecond: 2, ageMs: 80, sent: 1 } }, 210);
    endAttempt(instance, 'a', buildLimit(2), 220);
    vitest.expect(instance.getLimit()).toBeUndefined();
  });

  vitest.it('learns from another VM that a limit has ended, but not from an earlier answer', () => {
    const instance = buildInstance([['a', 500]]);
    endAttempt(instance, 'a', buildLimit(2), 600);
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 0, limit: { perSecond: undefined, ageMs: 300, sent: 0 } }, 700);
    vitest.expect(instance.getLimit()).toBe(2);
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 0, limit: { perSecond: undefined, ageMs: 100, sent: 0 } }, 800);
    vitest.expect(instance.getLimit()).toBeUndefined();
  });

  vitest.it('tells the other VMs of a limit only while it sends requests, so that a VM without callers falls silent', () => {
    const instance = buildInstance([['a', 10]]);
    endAttempt(instance, 'a', buildLimit(2), 100);
    instance.beginAttempt('b', 200, new gateway.upstreams.DurationSamples(1_000));
    vitest.expect(instance.buildLimitEvidence(300)).toEqual({ perSecond: 2, ageMs: 290, sent: 1 });
    vitest.expect(instance.buildLimitEvidence(10_000)).toBeUndefined();
  });
});
