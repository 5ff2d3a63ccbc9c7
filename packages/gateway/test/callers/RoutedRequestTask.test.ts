import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

const INSTANCES = ['i1', 'i22', 'i333'].map((id) => testRoute.buildInstance(id));
const IDEMPOTENT = testRoute.buildRoute({ kind: 'idempotent' });
const NON_IDEMPOTENT = testRoute.buildRoute();

vitest.describe('RoutedRequestTask', () => {
  vitest.it('does not retry a non-idempotent request that an instance may have processed', () => {
    (['reset', 'broken', 'cancelled'] as const).forEach((type) => {
      const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
      const id = tested.sendRequest();
      tested.endAttempt(tested.listAttempts()[0]!.attemptId, { type });
      tested.timers.advanceTo(5_000);
      vitest.expect(tested.listAttempts()).toHaveLength(1);
      vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'unknown' });
    });
  });

  vitest.it('retries a non-idempotent request at another instance if the first one has certainly not processed it', () => {
    (['unsent', 'misdirected', 'not-run'] as const).forEach((type) => {
      const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
      tested.sendRequest();
      const [first] = tested.listAttempts();
      tested.endAttempt(first!.attemptId, type === 'not-run' ? { type, statement: gateway.upstreams.EMPTY_STATEMENT } : { type });
      const attempts = tested.listAttempts();
      vitest.expect(attempts).toHaveLength(2);
      vitest.expect(attempts[1]!.instance.id).not.toBe(first!.instance.id);
    });
  });

  vitest.it('sends no more attempts than the route permits, and then refuses with `overloaded` if no instance has processed the request', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'not-run', statement: gateway.upstreams.EMPTY_STATEMENT });
    tested.endAttempt('2', { type: 'not-run', statement: gateway.upstreams.EMPTY_STATEMENT });
    vitest.expect(tested.listAttempts()).toHaveLength(2);
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'overloaded' });
  });

  vitest.it('does not count attempts whose instance could not be reached towards the limit of the route', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES, 0);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'unsent' });
    tested.endAttempt('2', { type: 'unsent' });
    vitest.expect(new Set(tested.listAttempts().map((attempt) => attempt.instance.id)).size).toBe(3);
    tested.endAttempt('3');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
  });

  vitest.it('queues a request when the only free instance could not be reached', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], ['i1', 'i22'].map((id) => testRoute.buildInstance(id, { slots: 1 })));
    tested.sendRequest();
    const second = tested.sendRequest();
    tested.endAttempt('2', { type: 'unsent' });
    vitest.expect(tested.findOutcome(second)).toBeUndefined();
    tested.endAttempt('1');
    vitest.expect(tested.listAttempts()).toHaveLength(3);
  });

  vitest.it('refuses a request as overloaded or too late when no instance could be reached', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], [testRoute.buildInstance('i1')]);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'unsent' });
    tested.timers.advanceTo(2_001);
    vitest.expect(['overloaded', 'too-late']).toContain((tested.findOutcome(id) as { reason: string }).reason);
  });

  vitest.it('refuses with `unknown` if an instance may have processed one of two attempts', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'reset' });
    tested.endAttempt('2', { type: 'not-run', statement: gateway.upstreams.EMPTY_STATEMENT });
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'unknown' });
  });

  vitest.it('passes a server error on to the caller of a non-idempotent request instead of retrying', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(500));
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer', answer: { status: 500 } });
  });

  vitest.it('retries an idempotent request at another instance after a server error', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(500));
    vitest.expect(tested.findOutcome(id)).toBeUndefined();
    tested.endAttempt('2');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer', answer: { status: 200 } });
  });

  vitest.it('hedges an idempotent request whose instance does not respond, and cancels the attempt that loses', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.timers.advanceTo(900);
    vitest.expect(tested.listAttempts()).toHaveLength(2);
    tested.endAttempt('2');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
  });

  vitest.it('does not hedge when the retry budget is exhausted', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES, 0);
    tested.sendRequest();
    tested.timers.advanceTo(1_500);
    vitest.expect(tested.listAttempts()).toHaveLength(1);
  });

  vitest.it('ends a request at the time-out of its route, even if the caller would wait longer', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute({ timeoutMs: 300 })], INSTANCES);
    const id = tested.sendRequest();
    tested.timers.advanceTo(301);
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'timed-out' });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
  });

  vitest.it('cancels the attempts of a request whose caller disconnected', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.task.post({ type: 'caller-gone', requestId: id });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
    tested.timers.advanceTo(2_500);
    vitest.expect(tested.listAttempts()).toHaveLength(1);
  });

  vitest.it('passes the remaining time until the deadline to each attempt', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.sendRequest('/x/1', 1_500);
    tested.timers.advanceTo(200);
    tested.endAttempt('1', { type: 'unsent' });
    vitest.expect(tested.listAttempts().map((attempt) => attempt.deadlineMs)).toEqual([1_500, 1_300]);
  });

  vitest.it('serves waiting requests by rank, and immediately refuses a request that cannot be answered before its deadline', () => {
    const urgent = testRoute.buildRoute({ name: 'r2', prefix: '/urgent/', rank: 0 });
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT, urgent], [testRoute.buildInstance('i1', { slots: 1 })]);
    // The first request occupies the slot, the second is queued at the instance and the third in the VM.
    [1, 2, 3].forEach(() => tested.sendRequest());
    const refused = tested.sendRequest('/x/1', 200);
    vitest.expect(tested.findOutcome(refused)).toMatchObject({ type: 'refuse', reason: 'overloaded' });
    tested.sendRequest('/urgent/1');
    tested.endAttempt('1');
    vitest.expect(tested.listAttempts().map((attempt) => attempt.arrival.path)).toEqual(['/x/1', '/x/1', '/urgent/1']);
  });

  vitest.it('refuses waiting requests after a part of their latency objective instead of letting them wait longer', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], [testRoute.buildInstance('i1', { slots: 1 })]);
    [1, 2].forEach(() => tested.sendRequest());
    const waiting = [3, 4].map(() => tested.sendRequest());
    tested.timers.advanceTo(NON_IDEMPOTENT.objectiveMs * 0.4);
    vitest.expect(waiting.map((id) => tested.findOutcome(id)?.type)).toEqual(['refuse', 'refuse']);
  });

  vitest.it('refuses a request immediately if its service has no instance', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], []);
    vitest.expect(tested.findOutcome(tested.sendRequest())).toMatchObject({ type: 'refuse', reason: 'no-instance' });
  });

  vitest.it('refuses a request while stopping if an instance might still be processing it when the process ends', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.task.post({ type: 'stopping', acceptsUntilMs: 3_000, endsAtMs: 5_600 });
    tested.timers.advanceTo(3_500);
    vitest.expect(tested.findOutcome(tested.sendRequest('/x/1', 2_000))).toBeUndefined();
    tested.timers.advanceTo(3_700);
    vitest.expect(tested.findOutcome(tested.sendRequest('/x/1', 2_000))).toMatchObject({ type: 'refuse', reason: 'stopping' });
    vitest.expect(tested.findOutcome(tested.sendRequest('/x/1', 1_000))).toBeUndefined();
    vitest.expect(tested.listAttempts()).toHaveLength(2);
  });

  vitest.describe('before the first configuration', () => {
    function buildUnconfigured(): testGateway.TestGateway {
      return new testGateway.TestGateway(undefined, INSTANCES);
    }

    vitest.it('serves a request that arrived before the first configuration', () => {
      const tested = buildUnconfigured();
      const held = tested.sendRequest();
      tested.timers.advanceTo(300);
      vitest.expect(tested.findOutcome(held)).toBeUndefined();
      tested.applyConfiguration([NON_IDEMPOTENT], INSTANCES);
      tested.endAttempt('1');
      vitest.expect(tested.findOutcome(held)).toMatchObject({ type: 'answer' });
    });

    vitest.it('refuses a held request early enough for the caller to try another VM if no configuration arrives', () => {
      const tested = buildUnconfigured();
      const held = tested.sendRequest('/x/1', 1_000);
      tested.timers.advanceTo(301);
      vitest.expect(tested.findOutcome(held)).toMatchObject({ type: 'refuse', reason: 'no-configuration' });
      tested.applyConfiguration([NON_IDEMPOTENT], INSTANCES);
      vitest.expect(tested.listAttempts()).toHaveLength(0);
    });

    vitest.it('sends no attempt for a held request whose caller disconnected', () => {
      const tested = buildUnconfigured();
      tested.task.post({ type: 'caller-gone', requestId: tested.sendRequest() });
      tested.applyConfiguration([NON_IDEMPOTENT], INSTANCES);
      vitest.expect(tested.listAttempts()).toHaveLength(0);
    });

    vitest.it('refuses requests that exceed the capacity of the hold queue', () => {
      const tested = buildUnconfigured();
      const ids = Array.from({ length: 600 }, () => tested.sendRequest());
      vitest.expect(ids.filter((id) => tested.findOutcome(id)?.type === 'refuse')).toHaveLength(600 - 512);
    });
  });

  vitest.it('refuses with `no-route` only while its configuration is confirmed to be current', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    vitest.expect(tested.findOutcome(tested.sendRequest('/other/1'))).toMatchObject({ reason: 'no-route' });
    tested.task.post({ type: 'catalog-state', state: 'stale' });
    vitest.expect(tested.findOutcome(tested.sendRequest('/other/1'))).toMatchObject({ reason: 'no-configuration' });
  });

  vitest.it('sends no request to an instance that is draining', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.task.post({
      type: 'instances-changed',
      records: INSTANCES.map((record) => (record.id === 'i1' ? record : { ...record, state: 'draining' as const })),
    });
    [1, 2].forEach(() => tested.sendRequest());
    vitest.expect(tested.listAttempts().map((attempt) => attempt.instance.id)).toEqual(['i1', 'i1']);
  });

  vitest.it('compares the instances once for all waiting requests when an attempt ends, not once for each of them', () => {
    const countComparisons = (minWaiting: number): number => {
      const patient = testRoute.buildRoute({ timeoutMs: 600_000, objectiveMs: 60_000 });
      const tested = new testGateway.TestGateway([patient], INSTANCES);
      const compared = vitest.vi.spyOn(gateway.upstreams.PooledInstance.prototype, 'evaluate');
      Array.from({ length: 400 }, () => tested.sendRequest('/x/1', 600_000));
      vitest.expect(tested.task.countWaiting()).toBeGreaterThanOrEqual(minWaiting);
      compared.mockClear();
      tested.endAttempt(tested.listAttempts()[0]!.attemptId);
      const count = compared.mock.calls.length;
      compared.mockRestore();
      return count;
    };
    vitest.expect(countComparisons(100)).toBeLessThan(10 * INSTANCES.length);
  });

  vitest.it('stops sending evidence when nothing is in flight and no instance is suspected, even if an instance was removed', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.sendRequest();
    const [attempt] = tested.listAttempts();
    // The other VMs hold evidence about the instance when it is removed.
    tested.timers.advanceTo(200);
    vitest.expect(tested.outputs.some((output) => output.type === 'evidence-found')).toBe(true);
    tested.task.post({ type: 'instances-changed', records: INSTANCES.filter((record) => record.id !== attempt!.instance.id) });
    tested.timers.advanceTo(500);
    tested.endAttempt(attempt!.attemptId, testGateway.TestGateway.buildAnswer(500));
    tested.timers.advanceTo(30_000);
    const wakeUps = vitest.vi.spyOn(tested.task, 'handle');
    tested.timers.advanceTo(40_000);
    vitest.expect(wakeUps).not.toHaveBeenCalled();
  });

  vitest.describe('during a stop that is shorter than the deadlines', () => {
    const patient = testRoute.buildRoute({ timeoutMs: 12_000, objectiveMs: 10_000 });

    function buildStopping(instances = INSTANCES): testGateway.TestGateway {
      const tested = new testGateway.TestGateway([patient], instances);
      tested.task.post({ type: 'stopping', acceptsUntilMs: 3_000, endsAtMs: 5_400 });
      return tested;
    }

    vitest.it('serves a request that arrives early, and passes on no more time than the process runs', () => {
      const tested = buildStopping();
      tested.timers.advanceTo(1_000);
      const id = tested.sendRequest('/x/1', 12_000);
      const [attempt] = tested.listAttempts();
      vitest.expect(attempt?.deadlineMs).toBeLessThanOrEqual(4_400);
      tested.endAttempt(attempt!.attemptId);
      vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
    });

    vitest.it('gives every request an outcome before the process ends, and says `not run` only to those that were not sent', () => {
      const tested = new testGateway.TestGateway([patient], [testRoute.buildInstance('i1', { slots: 1 })]);
      const ids = Array.from({ length: 3 }, () => tested.sendRequest('/x/1', 12_000));
      tested.task.post({ type: 'stopping', acceptsUntilMs: 3_000, endsAtMs: 5_400 });
      tested.timers.advanceTo(5_400);
      vitest.expect(ids.map((id) => tested.findOutcome(id))).toMatchObject([{ reason: 'timed-out' }, { reason: 'timed-out' }, { type: 'refuse' }]);
      vitest.expect(['overloaded', 'too-late']).toContain((tested.findOutcome(ids[2]!) as { readonly reason: string }).reason);
      vitest.expect(tested.task.countRequests()).toBe(0);
    });
  });

  vitest.it('neither repeats nor gives up a request whose instance is no longer published or reports no more', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    const [attempt] = tested.listAttempts();
    tested.task.post({ type: 'instances-changed', records: INSTANCES.filter((record) => record.id !== attempt!.instance.id) });
    tested.task.post({
      type: 'peer-evidence',
      from: 'vm-2',
      outcomes: [],
      rows: [{
        instance: attempt!.instance.id, service: 's1', deviation: 5, inFlight: 0,
      }],
    });
    tested.timers.advanceTo(1_500);
    vitest.expect(tested.outputs.filter((output) => output.type === 'cancel-attempt' || output.type === 'send-attempt')).toHaveLength(1);
    tested.endAttempt(attempt!.attemptId);
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
  });

  vitest.it('uses evidence of other VMs that arrived before its first instances', () => {
    const tested = new testGateway.TestGateway(undefined, INSTANCES);
    const failing = INSTANCES.slice(0, 2).map((record) => ({
      instance: record.id, service: 's1', deviation: 5, inFlight: 0,
    }));
    ['vm-2', 'vm-3'].forEach((from) => tested.task.post({
      type: 'peer-evidence', from, rows: failing, outcomes: [],
    }));
    tested.timers.advanceTo(300);
    tested.applyConfiguration([NON_IDEMPOTENT], INSTANCES);
    [1, 2].forEach(() => tested.sendRequest());
    vitest.expect(tested.listAttempts().map((attempt) => attempt.instance.id)).toEqual([INSTANCES[2]!.id, INSTANCES[2]!.id]);
  });

  vitest.it('lets the retry of an idempotent request wait for a free slot instead of passing a server error on at once', () => {
    const instances = ['i1', 'i22'].map((id) => testRoute.buildInstance(id, { slots: 1 }));
    const tested = new testGateway.TestGateway([IDEMPOTENT], instances);
    const ids = Array.from({ length: 4 }, () => tested.sendRequest());
    const [failed] = tested.listAttempts();
    tested.endAttempt(failed!.attemptId, testGateway.TestGateway.buildAnswer(500));
    vitest.expect(tested.findOutcome(ids[0]!)).toBeUndefined();
    tested.listAttempts()
      .filter((attempt) => attempt.instance.id !== failed!.instance.id)
      .forEach((attempt) => tested.endAttempt(attempt.attemptId));
    const retry = tested.listAttempts().findLast((attempt) => attempt.arrival.requestId === ids[0]);
    vitest.expect(retry?.instance.id).not.toBe(failed!.instance.id);
    tested.endAttempt(retry!.attemptId);
    vitest.expect(tested.findOutcome(ids[0]!)).toMatchObject({ type: 'answer', answer: { status: 200 } });
  });

  vitest.it('passes the server error on, and does not say `not run`, when no slot is free for the retry in time', () => {
    const instances = ['i1', 'i22'].map((id) => testRoute.buildInstance(id, { slots: 1 }));
    const tested = new testGateway.TestGateway([IDEMPOTENT], instances);
    const ids = Array.from({ length: 4 }, () => tested.sendRequest());
    tested.endAttempt(tested.listAttempts()[0]!.attemptId, testGateway.TestGateway.buildAnswer(500));
    tested.timers.advanceTo(IDEMPOTENT.objectiveMs);
    vitest.expect(tested.findOutcome(ids[0]!)).toMatchObject({ type: 'answer', answer: { status: 500 } });
  });

  vitest.it('keeps to a limit that an instance states, logs it, and refuses at once what the limits leave no room for', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute()], [testRoute.buildInstance('i1', { slots: 4 })]);
    tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(200, { limit: { type: 'stated', perSecond: 0.5 } }));
    const listEvents = (event: string): gateway.callers.LogFields[] => (
      tested.outputs.flatMap((output) => (output.type === 'log' && output.event === event ? [output.fields] : []))
    );
    vitest.expect(listEvents('limit-changed')).toEqual([{
      instance: 'i1', service: 's1', perSecond: 0.5, previousPerSecond: undefined, source: 'answer',
    }]);
    const requests = Array.from({ length: 10 }, () => tested.sendRequest());
    vitest.expect(tested.listAttempts()).toHaveLength(1);
    vitest.expect(requests.filter((id) => tested.findOutcome(id)?.type === 'refuse').length).toBeGreaterThanOrEqual(8);
    vitest.expect(listEvents('request-refused')[0]).toMatchObject({ reason: 'overloaded', limited: 1 });
  });

  vitest.it('tells the other VMs of a limit at once', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute()], [testRoute.buildInstance('i1')]);
    tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(200, { limit: { type: 'stated', perSecond: 2 } }));
    const rows = tested.outputs.flatMap((output) => (output.type === 'evidence-found' ? output.rows : []));
    vitest.expect(rows).toEqual([vitest.expect.objectContaining({ instance: 'i1', limit: { perSecond: 2, ageMs: 0, sent: 0 } })]);
  });

  vitest.it('ignores and logs a limit that cannot be read', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute()], [testRoute.buildInstance('i1', { slots: 4 })]);
    tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(200, { limit: { type: 'unreadable', text: 'few' } }));
    tested.sendRequest();
    vitest.expect(tested.listAttempts()).toHaveLength(2);
    vitest.expect(tested.outputs).toContainEqual({
      type: 'log', event: 'statement-unreadable', fields: { instance: 'i1', service: 's1', detail: 'few' },
    });
  });

  // At other operators, requests that came late in the grace period were passed on and cut at its end.
  vitest.it('gives every request that it passes on during a stop its whole time, unless it came early in the stop', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute()], [testRoute.buildInstance('i1', { slots: 1_000 })]);
    const [openUntilMs, endsAtMs, deadlineMs] = [3_000, 5_340, 2_000];
    tested.task.post({ type: 'stopping', acceptsUntilMs: openUntilMs, endsAtMs });
    const sentAtMs = new Map(Array.from({ length: 53 }, (_, index) => {
      tested.timers.advanceTo(index * 100);
      return [tested.sendRequest('/x/1', deadlineMs), index * 100] as const;
    }));
    tested.timers.advanceTo(endsAtMs);
    const passedOn = new Set(tested.listAttempts().map((attempt) => attempt.arrival.requestId));
    const late = [...sentAtMs].filter(([id, atMs]) => passedOn.has(id) && atMs > openUntilMs);
    vitest.expect(late.length).toBeGreaterThan(0);
    late.forEach(([, atMs]) => vitest.expect(atMs + deadlineMs).toBeLessThanOrEqual(endsAtMs));
    // Nothing is left without an outcome when the process ends.
    sentAtMs.forEach((_, id) => vitest.expect(tested.findOutcome(id)).toBeDefined());
  });
});
