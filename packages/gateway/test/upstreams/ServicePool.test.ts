import * as core from '@tamarackferry/core';
import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

function buildPool(records: readonly gateway.upstreams.InstanceRecord[]): gateway.upstreams.ServicePool {
  const pool = new gateway.upstreams.ServicePool({
    service: 's1',
    place: 'p1',
    random: new core.randomness.SeededRandomSource(3),
    floorShare: 0.7,
    activeVms: new gateway.vms.ActiveVms('vm0'),
    leaving: new gateway.upstreams.LeavingInstances(),
  });
  pool.setInstances(records, 0);
  return pool;
}

function buildDurations(): gateway.upstreams.DurationSamples {
  const durations = new gateway.upstreams.DurationSamples(1_000);
  Array.from({ length: 200 }, (_, index) => durations.record(200 + index));
  return durations;
}

vitest.describe('ServicePool', () => {
  vitest.it('avoids an instance with an overdue request long before the request times out', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 20 }), testRoute.buildInstance('i2', { slots: 20 })]);
    const durations = buildDurations();
    const overdue = pool.chooseInstance('non-idempotent', [], 0)!;
    overdue.beginAttempt('a', 0, durations);
    const chosen = Array.from({ length: 10 }, () => pool.chooseInstance('non-idempotent', [], 450)?.getRecord().id);
    vitest.expect(chosen).not.toContain(overdue.getRecord().id);
  });

  vitest.it('prefers an instance of its own place, but not one that fails', () => {
    const near = testRoute.buildInstance('i1', { slots: 20 });
    const far = testRoute.buildInstance('i2', { slots: 20, place: 'p2' });
    const pool = buildPool([near, far]);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 0)?.getRecord().id).toBe('i1');
    const instance = pool.chooseInstance('non-idempotent', [], 0)!;
    ['a', 'b'].forEach((id) => {
      instance.beginAttempt(id, 0, buildDurations());
      instance.endAttempt(id, testGateway.TestGateway.buildAnswer(500), 10);
    });
    vitest.expect(pool.chooseInstance('non-idempotent', [], 20)?.getRecord().id).toBe('i2');
  });

  vitest.it('queues at most one request at an instance whose slots are full, counting the requests of other VMs', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 2 })]);
    const durations = buildDurations();
    const instance = pool.chooseInstance('non-idempotent', [], 0)!;
    instance.beginAttempt('a', 0, durations);
    instance.endAttempt('a', testGateway.TestGateway.buildAnswer(200, { load: { running: 2, waiting: 0, slots: 2 } }), 10);
    pool.chooseInstance('non-idempotent', [], 11)!.beginAttempt('b', 11, durations);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 12)).toBeUndefined();
    vitest.expect(pool.chooseInstance('non-idempotent', [], 700)).toBeDefined();
  });

  vitest.it('counts the requests in flight of other VMs until they report that these have ended', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 2 })]);
    const instance = pool.getInstance('i1')!;
    instance.recordPeerEvidence('vm1', { deviation: 0, inFlight: 2 }, 0);
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 1 }, 0);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 1_000)).toBeUndefined();
    instance.recordPeerEvidence('vm2', { deviation: 0, inFlight: 0 }, 1_000);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 1_001)).toBe(instance);
  });

  vitest.it('no longer counts the requests in flight of a VM that has stopped reporting', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 2 })]);
    pool.getInstance('i1')!.recordPeerEvidence('vm1', { deviation: 0, inFlight: 3 }, 0);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 2_000)).toBeUndefined();
    vitest.expect(pool.chooseInstance('non-idempotent', [], 3_000)).toBeDefined();
  });

  vitest.it('queues critical requests at an instance, but at most half as many as it has slots', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 4 })]);
    const sent = Array.from({ length: 8 }, (_, index) => {
      const chosen = pool.chooseInstance('non-idempotent', [], 0, 'critical');
      chosen?.beginAttempt(`a${index}`, 0, buildDurations());
      return chosen;
    });
    vitest.expect(sent.filter((instance) => instance !== undefined).length).toBe(6);
  });

  vitest.it('sends an urgent request to an instance that keeps failing, but not a request of normal urgency', () => {
    const pool = buildPool(['i1', 'i2', 'i3', 'i4'].map((id) => testRoute.buildInstance(id, { slots: 1 })));
    const failing = pool.getInstance('i1')!;
    ['a', 'b', 'c'].forEach((id) => {
      failing.beginAttempt(id, 0, buildDurations());
      failing.endAttempt(id, { type: 'reset' }, 1);
    });
    ['i2', 'i3', 'i4'].forEach((id) => ['d', 'e'].forEach((key) => pool.getInstance(id)!.beginAttempt(key, 0, buildDurations())));
    vitest.expect(pool.chooseInstance('non-idempotent', [], 2, 'normal')).toBeUndefined();
    vitest.expect(pool.chooseInstance('non-idempotent', [], 2, 'urgent')).toBe(failing);
  });

  vitest.it('excludes at most three in ten instances, however high their failure probability is', () => {
    const pool = buildPool(Array.from({ length: 10 }, (_, index) => testRoute.buildInstance(`i${index}`, { slots: 4 })));
    pool.listInstances().forEach((instance) => {
      ['a', 'b', 'c'].forEach((id) => {
        instance.beginAttempt(id, 0, buildDurations());
        instance.endAttempt(id, { type: 'reset' }, 1);
      });
    });
    const used = new Set(Array.from({ length: 28 }, (_, index) => {
      const chosen = pool.chooseInstance('non-idempotent', [], 2, 'normal');
      chosen?.beginAttempt(`x${index}`, 2, buildDurations());
      return chosen?.getRecord().id;
    }));
    vitest.expect(used.size).toBe(7);
  });

  vitest.it('uses the evidence of other VMs, but a single VM cannot exclude an instance', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 20 }), testRoute.buildInstance('i2', { slots: 20 })]);
    const reported = pool.getInstance('i1')!;
    reported.recordPeerEvidence('vm1', { deviation: 20, inFlight: 0 }, 0);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 1)?.getRecord().id).toBe('i2');
    vitest.expect(reported.estimateFailureProbability(1)).toBeLessThan(0.4);
    reported.recordPeerEvidence('vm2', { deviation: 20, inFlight: 0 }, 0);
    vitest.expect(reported.estimateFailureProbability(1)).toBeGreaterThan(0.4);
  });

  vitest.it('explores an idle instance with idempotent requests', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 20 }), testRoute.buildInstance('i2', { slots: 20 })]);
    const used = pool.chooseInstance('non-idempotent', [], 0)!;
    used.beginAttempt('a', 1_500, buildDurations());
    used.endAttempt('a', testGateway.TestGateway.buildAnswer(200), 1_800);
    vitest.expect(pool.chooseInstance('non-idempotent', [], 2_000)).toBe(used);
    vitest.expect(pool.chooseInstance('idempotent', [], 2_000)).not.toBe(used);
  });

  vitest.it('sends a request to a new instance within four seconds, even if all requests are non-idempotent', () => {
    const pool = buildPool([testRoute.buildInstance('i1', { slots: 20 })]);
    const durations = buildDurations();
    const serveUntil = (fromMs: number, toMs: number): boolean => Array.from({ length: (toMs - fromMs) / 250 }, (_, index) => {
      const nowMs = fromMs + index * 250;
      const chosen = pool.chooseInstance('non-idempotent', [], nowMs)!;
      chosen.beginAttempt(`x${nowMs}`, nowMs, durations);
      chosen.endAttempt(`x${nowMs}`, testGateway.TestGateway.buildAnswer(200), nowMs + 220);
      return chosen.getRecord().id;
    }).includes('i2');
    serveUntil(0, 5_000);
    pool.setInstances([testRoute.buildInstance('i1', { slots: 20 }), testRoute.buildInstance('i2', { slots: 20 })], 5_000);
    vitest.expect(serveUntil(5_000, 9_000)).toBe(true);
  });

  vitest.it('discards the observations of an instance that was restarted under the same id', () => {
    const record = testRoute.buildInstance('i1');
    const pool = buildPool([record]);
    const instance = pool.chooseInstance('non-idempotent', [], 0)!;
    Array.from({ length: 12 }, (_, index) => {
      instance.beginAttempt(`a${index}`, 0, buildDurations());
      instance.endAttempt(`a${index}`, { type: 'reset' }, 1);
      return index;
    });
    vitest.expect(instance.estimateFailureProbability(2)).toBeGreaterThan(0.6);
    pool.setInstances([{ ...record, startedAtMs: 2 }], 3);
    vitest.expect(instance.estimateFailureProbability(4)).toBeLessThan(0.1);
  });

  vitest.it('compares a limited number of instances for a request, however many the service has', () => {
    const countCompared = (size: number): number => {
      const pool = buildPool(Array.from({ length: size }, (_, index) => testRoute.buildInstance(`i${index}`)));
      const compared = vitest.vi.spyOn(gateway.upstreams.PooledInstance.prototype, 'evaluate');
      pool.chooseInstance('non-idempotent', [], 0);
      const count = new Set(compared.mock.contexts).size;
      compared.mockRestore();
      return count;
    };
    vitest.expect(countCompared(30)).toBe(30);
    vitest.expect(countCompared(3_000)).toBe(countCompared(300));
  });

  vitest.it('finds the only free instance of a large service', () => {
    const pool = buildPool(Array.from({ length: 1_000 }, (_, index) => testRoute.buildInstance(`i${index}`, { slots: 1 })));
    const durations = buildDurations();
    pool.listInstances().filter((instance) => instance.getRecord().id !== 'i700')
      .forEach((instance) => ['a', 'b'].forEach((attempt) => instance.beginAttempt(attempt, 0, durations)));
    vitest.expect(pool.chooseInstance('non-idempotent', [], 0)?.getRecord().id).toBe('i700');
  });

  vitest.it('sends the retry of an idempotent request to an instance that answered recently, not to an idle one', () => {
    const pool = buildPool([testRoute.buildInstance('proven', { slots: 20 }), testRoute.buildInstance('idle', { slots: 20 })]);
    const durations = buildDurations();
    const proven = pool.getInstance('proven')!;
    Array.from({ length: 3 }, (_, index) => String(index)).forEach((attempt) => {
      proven.beginAttempt(attempt, 2_400, durations);
      proven.endAttempt(attempt, testGateway.TestGateway.buildAnswer(200), 2_500);
    });
    vitest.expect(pool.chooseInstance('idempotent', [], 2_500)?.getRecord().id).toBe('idle');
    vitest.expect(pool.chooseInstance('idempotent', ['other'], 2_500)?.getRecord().id).toBe('proven');
  });
});
