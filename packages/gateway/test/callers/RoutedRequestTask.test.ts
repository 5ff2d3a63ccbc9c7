import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

const INSTANCES = ['i1', 'i22', 'i333'].map((id) => testRoute.buildInstance(id));
const IDEMPOTENT = testRoute.buildRoute({ kind: 'idempotent' });
const NON_IDEMPOTENT = testRoute.buildRoute();

vitest.describe('RoutedRequestTask', () => {
  vitest.it('never sends a request again that may have run', () => {
    (['reset', 'broken', 'cancelled'] as const).forEach((type) => {
      const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
      const id = tested.sendRequest();
      tested.endAttempt(tested.listAttempts()[0]!.attemptId, { type });
      tested.timers.advanceTo(5_000);
      vitest.expect(tested.listAttempts()).toHaveLength(1);
      vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'unknown' });
    });
  });

  vitest.it('sends a request again to another instance after proof that it has not run', () => {
    (['unsent', 'misdirected', 'not-run'] as const).forEach((type) => {
      const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
      tested.sendRequest();
      const [first] = tested.listAttempts();
      tested.endAttempt(first!.attemptId, type === 'not-run' ? { type, load: undefined } : { type });
      const attempts = tested.listAttempts();
      vitest.expect(attempts).toHaveLength(2);
      vitest.expect(attempts[1]!.instance.id).not.toBe(first!.instance.id);
    });
  });

  vitest.it('does not exceed the attempts of the route, and says that the request has not run only if that is known', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'not-run', load: undefined });
    tested.endAttempt('2', { type: 'not-run', load: undefined });
    vitest.expect(tested.listAttempts()).toHaveLength(2);
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'overloaded' });
  });

  vitest.it('does not count instances that could not be reached against the attempts of the route', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES, 0);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'unsent' });
    tested.endAttempt('2', { type: 'unsent' });
    vitest.expect(new Set(tested.listAttempts().map((attempt) => attempt.instance.id)).size).toBe(3);
    tested.endAttempt('3');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
  });

  vitest.it('lets a request wait for a slot when the only free instance could not be reached', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], ['i1', 'i22'].map((id) => testRoute.buildInstance(id, { slots: 1 })));
    tested.sendRequest();
    const second = tested.sendRequest();
    tested.endAttempt('2', { type: 'unsent' });
    vitest.expect(tested.findOutcome(second)).toBeUndefined();
    tested.endAttempt('1');
    vitest.expect(tested.listAttempts()).toHaveLength(3);
  });

  vitest.it('says that a request has not run when no instance could be reached', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], [testRoute.buildInstance('i1')]);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'unsent' });
    tested.timers.advanceTo(2_001);
    vitest.expect(['overloaded', 'too-late']).toContain((tested.findOutcome(id) as { reason: string }).reason);
  });

  vitest.it('does not call a request "not run" after one of two attempts may have run', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', { type: 'reset' });
    tested.endAttempt('2', { type: 'not-run', load: undefined });
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'unknown' });
  });

  vitest.it('returns the failure of an instance for a request that must not be repeated', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(500));
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer', answer: { status: 500 } });
  });

  vitest.it('tries another instance after a failure of a request that may be repeated', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.endAttempt('1', testGateway.TestGateway.buildAnswer(500));
    vitest.expect(tested.findOutcome(id)).toBeUndefined();
    tested.endAttempt('2');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer', answer: { status: 200 } });
  });

  vitest.it('hedges a request that may be repeated when its instance is silent, and cancels the loser', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.timers.advanceTo(900);
    vitest.expect(tested.listAttempts()).toHaveLength(2);
    tested.endAttempt('2');
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'answer' });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
  });

  vitest.it('sends no repeat beyond the budget', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES, 0);
    tested.sendRequest();
    tested.timers.advanceTo(1_500);
    vitest.expect(tested.listAttempts()).toHaveLength(1);
  });

  vitest.it('ends a request at the time-out of its route, also when the caller would wait longer', () => {
    const tested = new testGateway.TestGateway([testRoute.buildRoute({ timeoutMs: 300 })], INSTANCES);
    const id = tested.sendRequest();
    tested.timers.advanceTo(301);
    vitest.expect(tested.findOutcome(id)).toMatchObject({ type: 'refuse', reason: 'timed-out' });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
  });

  vitest.it('withdraws the attempts of a caller that left', () => {
    const tested = new testGateway.TestGateway([IDEMPOTENT], INSTANCES);
    const id = tested.sendRequest();
    tested.task.post({ type: 'caller-gone', requestId: id });
    vitest.expect(tested.outputs).toContainEqual({ type: 'cancel-attempt', attemptId: '1' });
    tested.timers.advanceTo(2_500);
    vitest.expect(tested.listAttempts()).toHaveLength(1);
  });

  vitest.it('passes on the time that is left of the deadline', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.sendRequest('/x/1', 1_500);
    tested.timers.advanceTo(200);
    tested.endAttempt('1', { type: 'unsent' });
    vitest.expect(tested.listAttempts().map((attempt) => attempt.deadlineMs)).toEqual([1_500, 1_300]);
  });

  vitest.it('lets requests wait for a slot in the order of their rank, and refuses at once what cannot be served', () => {
    const urgent = testRoute.buildRoute({ name: 'r2', prefix: '/urgent/', rank: 0 });
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT, urgent], [testRoute.buildInstance('i1', { slots: 1 })]);
    // One runs, one waits at the instance, the third in the VM.
    [1, 2, 3].forEach(() => tested.sendRequest());
    const refused = tested.sendRequest('/x/1', 200);
    vitest.expect(tested.findOutcome(refused)).toMatchObject({ type: 'refuse', reason: 'overloaded' });
    tested.sendRequest('/urgent/1');
    tested.endAttempt('1');
    vitest.expect(tested.listAttempts().map((attempt) => attempt.arrival.path)).toEqual(['/x/1', '/x/1', '/urgent/1']);
  });

  vitest.it('holds no request for longer than a part of its objective and then refuses it', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], [testRoute.buildInstance('i1', { slots: 1 })]);
    [1, 2].forEach(() => tested.sendRequest());
    const waiting = [3, 4].map(() => tested.sendRequest());
    tested.timers.advanceTo(NON_IDEMPOTENT.objectiveMs * 0.4);
    vitest.expect(waiting.map((id) => tested.findOutcome(id)?.type)).toEqual(['refuse', 'refuse']);
  });

  vitest.it('refuses at once when a service has no instance', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], []);
    vitest.expect(tested.findOutcome(tested.sendRequest())).toMatchObject({ type: 'refuse', reason: 'no-instance' });
  });

  vitest.it('refuses a request that an instance could still work on when the process ends', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.task.post({ type: 'stopping', endsAtMs: 5_600 });
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

    vitest.it('serves a request that came before the routes were known', () => {
      const tested = buildUnconfigured();
      const held = tested.sendRequest();
      tested.timers.advanceTo(300);
      vitest.expect(tested.findOutcome(held)).toBeUndefined();
      tested.applyRoutes([NON_IDEMPOTENT], INSTANCES);
      tested.endAttempt('1');
      vitest.expect(tested.findOutcome(held)).toMatchObject({ type: 'answer' });
    });

    vitest.it('gives up in time for the caller to go elsewhere when the routes stay unknown', () => {
      const tested = buildUnconfigured();
      const held = tested.sendRequest('/x/1', 1_000);
      tested.timers.advanceTo(301);
      vitest.expect(tested.findOutcome(held)).toMatchObject({ type: 'refuse', reason: 'no-configuration' });
      tested.applyRoutes([NON_IDEMPOTENT], INSTANCES);
      vitest.expect(tested.listAttempts()).toHaveLength(0);
    });

    vitest.it('sends nothing for a caller that left before the routes were known', () => {
      const tested = buildUnconfigured();
      tested.task.post({ type: 'caller-gone', requestId: tested.sendRequest() });
      tested.applyRoutes([NON_IDEMPOTENT], INSTANCES);
      vitest.expect(tested.listAttempts()).toHaveLength(0);
    });

    vitest.it('holds a bounded number of requests', () => {
      const tested = buildUnconfigured();
      const ids = Array.from({ length: 600 }, () => tested.sendRequest());
      vitest.expect(ids.filter((id) => tested.findOutcome(id)?.type === 'refuse')).toHaveLength(600 - 512);
    });
  });

  vitest.it('says that there is no such route only while its configuration is known to be current', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    vitest.expect(tested.findOutcome(tested.sendRequest('/other/1'))).toMatchObject({ reason: 'no-route' });
    tested.task.post({ type: 'catalog-state', state: 'stale' });
    vitest.expect(tested.findOutcome(tested.sendRequest('/other/1'))).toMatchObject({ reason: 'no-configuration' });
  });

  vitest.it('sends nothing to an instance that is leaving', () => {
    const tested = new testGateway.TestGateway([NON_IDEMPOTENT], INSTANCES);
    tested.task.post({
      type: 'instances-changed',
      records: INSTANCES.map((record) => (record.id === 'i1' ? record : { ...record, state: 'draining' as const })),
    });
    [1, 2].forEach(() => tested.sendRequest());
    vitest.expect(tested.listAttempts().map((attempt) => attempt.instance.id)).toEqual(['i1', 'i1']);
  });
});
