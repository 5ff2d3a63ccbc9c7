import * as standins from '@tamarackferry/standins';
import * as vitest from 'vitest';

const STREAM: standins.demo.DemoStream = {
  member: 'museum',
  service: 'orders',
  kind: {
    name: 'order', method: 'POST', path_prefix: '/order', repeatability: 'non-idempotent', priority: 'interactive', weight: 1, deadline_ms: 1, on_time_ms: 1,
  },
  perSecond: 1,
};

const ANSWERED: standins.demo.DemoCall = {
  stream: STREAM, path: '/order/1', outcome: 'answered', reason: '', answer: 'own', latencyMs: 5,
};

const NOT_RUN: standins.demo.DemoCall = {
  ...ANSWERED, path: '/order/2', outcome: 'not-run', reason: 'overloaded', answer: 'none',
};

const GOOD: standins.demo.DemoObservations = {
  calls: [...Array.from({ length: 10 }, () => ANSWERED), NOT_RUN],
  runs: new Map([['/order/1', 1]]),
  directLatenciesMs: new Map([['/order/1', 3]]),
  ejections: ['orders-1', 'orders-2'],
  grayInstance: 'orders-1',
  breaches: [],
  versions: [2],
  expectedVersion: 2,
  lateDrainWork: 0,
};

function listBroken(changes: Partial<standins.demo.DemoObservations>): readonly string[] {
  const outcomes = new standins.demo.DemoReport([GOOD, { ...GOOD, ...changes }]).listOutcomes();
  return outcomes.filter((outcome) => outcome.state === 'broken').map((outcome) => outcome.name);
}

vitest.describe('DemoReport', () => {
  vitest.it('accepts a run in which every outcome held (guards against checks that nothing can meet)', () => {
    vitest.expect(listBroken({})).toEqual([]);
    const figures = new standins.demo.DemoReport([GOOD]).computeFigures();
    vitest.expect(figures).toMatchObject({
      requests: 11, answered: 10, ejections: 2, falseEjections: 1,
    });
    vitest.expect(figures.addedLatencyMs.p50).toBe(2);
  });

  vitest.it.each<[string, Partial<standins.demo.DemoObservations>]>([
    ['no wrong or foreign answer', { calls: [...GOOD.calls, { ...ANSWERED, answer: 'wrong' }] }],
    ['no wrong or foreign answer', { runs: new Map() }],
    ['no operation ran twice', { runs: new Map([['/order/1', 2]]) }],
    ['no operation ran that was reported as not run', { runs: new Map([['/order/1', 1], ['/order/2', 1]]) }],
    ['no capacity floor was breached', { breaches: ['vm-1 orders'] }],
    ['drained instances got no new work after 5 s', { lateDrainWork: 1 }],
    ['drained instances got no new work after 5 s', { lateDrainWork: undefined }],
    ['the last document is in force at every VM', { versions: [1, 2] }],
    ['the last document is in force at every VM', { versions: [] }],
    ['at least nine of ten requests were answered', { calls: [...GOOD.calls, NOT_RUN, NOT_RUN] }],
  ])('reports "%s" as broken (guards against a check that always holds)', (name, changes) => {
    vitest.expect(listBroken(changes)).toEqual([name]);
  });
});
