import * as fc from 'fast-check';
import * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testGateway from '../TestGateway.js';
import * as testRoute from '../TestRoute.js';

type Ending = gateway.upstreams.AttemptEnding;
type Record = gateway.upstreams.InstanceRecord;

const ROUTES = [testRoute.buildRoute({ kind: 'idempotent', maxAttempts: 3 }), testRoute.buildRoute({ name: 'r2', prefix: '/once/' })];
const INSTANCES = ['i1', 'i22', 'i333'].map((id) => testRoute.buildInstance(id));
const LEAVING = { ...gateway.upstreams.EMPTY_STATEMENT, presence: 'leaving' as const };

// Every ending by which a VM may receive the statement.
const ENDINGS: readonly Ending[] = [
  testGateway.TestGateway.buildAnswer(200, LEAVING),
  testGateway.TestGateway.buildAnswer(500, LEAVING),
  { type: 'not-run', statement: LEAVING },
  { type: 'broken', presence: 'leaving' },
  { type: 'cancelled', presence: 'leaving' },
];

/** Lets the instance of the first request state that it is leaving, and returns its published record. */
function endFirst(tested: testGateway.TestGateway, ending: Ending = ENDINGS[0]!): Record {
  tested.sendRequest('/once/1');
  const [attempt] = tested.listAttempts();
  tested.endAttempt(attempt!.attemptId, ending);
  return attempt!.instance;
}

/** Sends requests one after the other, each answered at once, and lists the ids of the instances that got them. */
function listUsed(tested: testGateway.TestGateway, count = 30): string[] {
  return Array.from({ length: count }, () => {
    const before = tested.listAttempts().length;
    tested.sendRequest();
    const sent = tested.listAttempts().slice(before);
    sent.forEach(({ attemptId }) => tested.endAttempt(attemptId));
    return sent.map(({ instance }) => instance.id);
  }).flat();
}

vitest.describe('an instance that states that it is leaving', () => {
  // Guards against sending requests to an instance that will exit, while the store that would say so cannot be reached.
  vitest.it.each(ENDINGS.map((ending) => [ending.type, ending] as const))('gets no new request, whatever the answer is (%s)', (_, ending) => {
    const tested = new testGateway.TestGateway(ROUTES, INSTANCES);
    const { id } = endFirst(tested, ending);
    vitest.expect(listUsed(tested)).not.toContain(id);
    vitest.expect(tested.outputs).toContainEqual(vitest.expect.objectContaining({ type: 'log', event: 'instance-leaving' }));
    vitest.expect(tested.task.countLeavingInstances()).toBe(1);
  });

  // Guards against an older catalog of another VM, a store that came back from a copy, and an expired entry that is written again.
  vitest.it('gets none when the store publishes it as ready again, or again after its entry was missing', () => {
    const tested = new testGateway.TestGateway(ROUTES, INSTANCES);
    const leaving = endFirst(tested);
    const others = INSTANCES.filter(({ id }) => id !== leaving.id);
    [[{ ...leaving, state: 'draining' as const }, ...others], INSTANCES, others, [{ ...leaving, slots: 9 }, ...others]].forEach((records) => {
      tested.timers.advanceTo(tested.timers.getNowMs() + 30_000);
      tested.task.post({ type: 'instances-changed', records });
      vitest.expect(listUsed(tested)).not.toContain(leaving.id);
    });
  });

  // Guards against holding a new process to what the previous one has stated.
  vitest.it('does not bind the next process under its id or at its address, also if its statement arrives late', () => {
    const tested = new testGateway.TestGateway(ROUTES, INSTANCES.slice(0, 1));
    const restarted = testRoute.buildInstance('i1', { startedAtMs: 2 });
    tested.sendRequest();
    tested.task.post({ type: 'instances-changed', records: [restarted] });
    tested.endAttempt('1', ENDINGS[0]!);
    vitest.expect(listUsed(tested, 3)).toEqual(['i1', 'i1', 'i1']);
    tested.task.post({ type: 'instances-changed', records: [testRoute.buildInstance('other', { host: restarted.host, port: restarted.port })] });
    vitest.expect(listUsed(tested, 1)).toEqual(['other']);
  });

  // Guards against holding requests until their deadline although no instance will take them.
  vitest.it('lets waiting requests be refused at once when it was the last one of its service', () => {
    const tested = new testGateway.TestGateway(ROUTES, [testRoute.buildInstance('i1', { slots: 1 })]);
    const ids = Array.from({ length: 4 }, () => tested.sendRequest('/once/1'));
    tested.listAttempts().forEach(({ attemptId }) => tested.endAttempt(attemptId, ENDINGS[0]!));
    vitest.expect(tested.listAttempts().length).toBeLessThan(ids.length);
    const refused = ids.flatMap((id) => tested.findOutcome(id) ?? []).filter(({ type }) => type === 'refuse');
    vitest.expect(refused).toHaveLength(ids.length - tested.listAttempts().length);
    const late = tested.sendRequest();
    vitest.expect(tested.findOutcome(late)).toMatchObject({ type: 'refuse', reason: 'no-instance' });
  });

  // Guards against any way around the statement: first attempts, retries, hedges and requests that wait, in any order of events.
  vitest.it('gets none in any sequence of requests, endings, catalogs and pauses', () => {
    const event = fc.oneof(
      fc.record({ type: fc.constant('request' as const), path: fc.constantFrom('/x/1', '/once/1') }),
      fc.record({ type: fc.constant('end' as const), index: fc.nat(20), ending: fc.constantFrom<Ending>(...ENDINGS, { type: 'unsent' }, { type: 'reset' }, testGateway.TestGateway.buildAnswer(200)) }),
      fc.record({ type: fc.constant('publish' as const), count: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ type: fc.constant('pause' as const), ms: fc.integer({ min: 1, max: 3_000 }) }),
    );
    fc.assert(fc.property(fc.array(event, { maxLength: 60 }), (events) => {
      const tested = new testGateway.TestGateway(ROUTES, INSTANCES);
      const left = new Set<string>();
      const ended = new Set<string>();
      events.forEach((next) => {
        const sentBefore = tested.listAttempts().length;
        const leftBefore = new Set(left);
        if (next.type === 'request') tested.sendRequest(next.path);
        if (next.type === 'publish') tested.task.post({ type: 'instances-changed', records: INSTANCES.slice(0, next.count) });
        if (next.type === 'pause') tested.timers.advanceTo(tested.timers.getNowMs() + next.ms);
        if (next.type === 'end') {
          const open = tested.listAttempts().filter(({ attemptId }) => !ended.has(attemptId));
          const attempt = open[next.index % Math.max(1, open.length)];
          if (attempt === undefined) return;
          ended.add(attempt.attemptId);
          if (ENDINGS.includes(next.ending)) leftBefore.add(attempt.instance.id);
          tested.endAttempt(attempt.attemptId, next.ending);
        }
        leftBefore.forEach((id) => left.add(id));
        vitest.expect(tested.listAttempts().slice(sentBefore).filter(({ instance }) => leftBefore.has(instance.id))).toEqual([]);
      });
    }), { seed: 39, numRuns: 300 });
  });
});
