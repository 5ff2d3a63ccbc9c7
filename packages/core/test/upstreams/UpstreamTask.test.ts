import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

type Reply = core.upstreams.AcquireReply | core.upstreams.CapacityFreed;

function acquire(simulation: poolSimulation.PoolSimulation, attemptId: string, replies: Reply[], excluded: readonly string[] = []): void {
  simulation.vms[0]!.task.post({
    type: 'acquire', attemptId, excluded, replyTo: { post: (reply) => replies.push(reply) },
  });
}

function observe(simulation: poolSimulation.PoolSimulation, attemptId: string, observation: core.upstreams.Observation = 'on-time'): void {
  simulation.vms[0]!.task.post({
    type: 'observed', attemptId, observation, latencyMs: 10, load: undefined, drain: undefined,
  });
}

function collectTypes(replies: readonly Reply[]): readonly string[] {
  return replies.map((reply) => (reply.type === 'unavailable' ? reply.cause : reply.type));
}

vitest.describe('UpstreamTask', () => {
  vitest.it('replies to each acquire once and reports freed capacity once (guards against requests that wait forever)', () => {
    const simulation = new poolSimulation.PoolSimulation({ instances: 1, contract: { slotsPerInstance: 2 } });
    const replies: Reply[] = [];
    const requester = { post: (reply: Reply) => replies.push(reply) };
    ['1', '2', '3', '4'].forEach((attemptId) => simulation.vms[0]!.task.post({
      type: 'acquire', attemptId, excluded: [], replyTo: requester,
    }));
    vitest.expect(collectTypes(replies)).toEqual(['assigned', 'assigned', 'saturated', 'saturated']);
    observe(simulation, '1');
    observe(simulation, '2');
    vitest.expect(collectTypes(replies.slice(4))).toEqual(['capacity-freed']);
    acquire(simulation, '5', replies, ['i0']);
    vitest.expect(replies.at(-1)).toEqual({ type: 'unavailable', attemptId: '5', cause: 'none' });
    simulation.vms[0]!.task.stop();
    acquire(simulation, '6', replies);
    vitest.expect(replies.at(-1)).toEqual({ type: 'unavailable', attemptId: '6', cause: 'none' });
  });

  vitest.it('notifies waiting requesters of new instances and when it stops (guards against requests that still wait after saturation has ended)', () => {
    const replies: Reply[] = [];
    const simulation = new poolSimulation.PoolSimulation({ instances: 1, contract: { slotsPerInstance: 1 } });
    acquire(simulation, '1', replies);
    acquire(simulation, '2', replies);
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(2) });
    vitest.expect(collectTypes(replies)).toEqual(['assigned', 'saturated', 'capacity-freed']);
    acquire(simulation, '3', replies);
    acquire(simulation, '4', replies);
    simulation.vms[0]!.task.stop();
    vitest.expect(collectTypes(replies.slice(3))).toEqual(['assigned', 'saturated', 'capacity-freed']);
  });

  vitest.it('decreases the concurrency limit to no less than 1 on shed responses and recovers (guards against overload of shedding instances)', () => {
    const limit = new core.upstreams.ConcurrencyLimit(8);
    limit.recordShed(0);
    limit.recordShed(50);
    vitest.expect(limit.getLimit()).toBe(5);
    Array.from({ length: 20 }, (_, index) => limit.recordShed(1_000 * index));
    vitest.expect(limit.getLimit()).toBe(1);
    Array.from({ length: 100 }, () => limit.recordServed());
    vitest.expect(limit.getLimit()).toBe(8);
  });

  vitest.it('sets the hedge delay to the 95th percentile of 50 or more latencies (guards against hedging without samples)', () => {
    const replies: Reply[] = [];
    const simulation = new poolSimulation.PoolSimulation();
    const task = simulation.vms[0]!.task;
    Array.from({ length: 101 }, (_, index) => {
      acquire(simulation, `${index}`, replies);
      return task.post({
        type: 'observed', attemptId: `${index}`, observation: 'on-time', latencyMs: index, load: undefined, drain: undefined,
      });
    });
    vitest.expect(replies[49]).toMatchObject({ hedgeAfterMs: Infinity });
    vitest.expect(replies[50]).toMatchObject({ hedgeAfterMs: 47 });
    simulation.timers.advanceTo(300);
    acquire(simulation, 'last', replies);
    vitest.expect(replies.at(-1)).toMatchObject({ hedgeAfterMs: 95 });
  });

  vitest.it('keeps the state of incarnations and their attempts across new lists (guards against slots that leak or are counted twice)', () => {
    const replies: Reply[] = [];
    const simulation = new poolSimulation.PoolSimulation({ instances: 3, contract: { slotsPerInstance: 1 } });
    ['1', '2', '3'].forEach((attemptId) => acquire(simulation, attemptId, replies));
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(3) });
    acquire(simulation, '4', replies);
    vitest.expect(collectTypes(replies)).toEqual(['assigned', 'assigned', 'assigned', 'saturated']);
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(2) });
    ['1', '2', '3'].forEach((attemptId) => observe(simulation, attemptId));
    vitest.expect(simulation.vms[0]!.task.getStatus().instances.map((each) => each.inFlight)).toEqual([0, 0]);
  });

  vitest.it('applies slow start to added instances but not to those of the first list (guards against cold instances under full load)', () => {
    const simulation = new poolSimulation.PoolSimulation({ instances: 5, requestsPerSecond: 200 });
    vitest.expect(simulation.getStatus('i0')).toMatchObject({ state: 'in-service', weight: 1 });
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(6) });
    simulation.runFor(2_000);
    vitest.expect(simulation.getStatus('i5')!.state).toBe('warming');
    vitest.expect(simulation.attempts.get('i5/x') ?? 0).toBeLessThan(0.25 * simulation.attempts.get('i0/x')!);
    simulation.runFor(9_000);
    vitest.expect(simulation.getStatus('i5')).toMatchObject({ state: 'in-service', weight: 1 });
  });

  vitest.it('retains its instances when a list is empty, until they fail (guards against an outage caused by a wrong list)', () => {
    const simulation = new poolSimulation.PoolSimulation();
    simulation.runFor(2_000);
    simulation.postAll({ type: 'list', entries: [] });
    simulation.runFor(5_000);
    vitest.expect(simulation.unavailable).toBe(0);
    simulation.serve = (attempt) => ({ observation: attempt.instance.name === 'i2' ? 'refused' : 'on-time', latencyMs: 5 });
    simulation.runFor(5_000);
    vitest.expect(simulation.vms[0]!.task.getStatus().instances.map((each) => each.name)).toEqual(['i0', 'i1', 'i3', 'i4', 'i5']);
    // If a list lacks at most half of the instances, these are removed immediately.
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(6) });
    simulation.postAll({ type: 'list', entries: poolSimulation.buildEntries(4) });
    vitest.expect(simulation.getStatus('i5')).toBeUndefined();
    // If another instance has the host and port of a retained one, the retained one is removed.
    simulation.postAll({ type: 'list', entries: [{ ...poolSimulation.buildEntries(1)[0]!, name: 'other' }] });
    vitest.expect(simulation.getStatus('i0')).toBeUndefined();
    vitest.expect(simulation.getStatus('i1')).toBeDefined();
  });

  vitest.it('sends attempts to a deprioritized instance when the others are full (guards against a loss of capacity by reduced weights)', () => {
    const replies: Reply[] = [];
    const simulation = new poolSimulation.PoolSimulation({
      contract: { floorInstances: 6 }, serve: (attempt) => ({ observation: attempt.instance.name === 'i0' ? 'failed' : 'on-time', latencyMs: 5 }),
    });
    simulation.runFor(5_000);
    vitest.expect(simulation.getStatus('i0')).toMatchObject({ state: 'steered', weight: 0.05 });
    const before = simulation.attempts.get('i0/x')!;
    simulation.runFor(10_000);
    vitest.expect(simulation.attempts.get('i0/x')! - before).toBeLessThan(15);
    Array.from({ length: 24 }, (_, index) => acquire(simulation, `${index}`, replies));
    vitest.expect(replies.filter((reply) => reply.type === 'assigned' && reply.instance.name === 'i0')).toHaveLength(4);
  });

  vitest.it('reports evidence to a peer at most once a second (guards against floods of evidence messages)', () => {
    const simulation = new poolSimulation.PoolSimulation();
    simulation.runFor(2_000);
    const request = { type: 'evidence-requested', from: 'peer', instances: ['i0', 'unknown'] } as const;
    simulation.postAll(request);
    simulation.postAll(request);
    const replies = simulation.peerMessages.filter((message) => message.type === 'send');
    vitest.expect(replies).toHaveLength(1);
    vitest.expect(replies[0]).toMatchObject({ to: 'peer', message: { type: 'evidence', rows: [{ instance: 'i0', incarnation: 'x' }] } });
    simulation.runFor(1_000);
    simulation.postAll(request);
    vitest.expect(simulation.peerMessages.filter((message) => message.type === 'send')).toHaveLength(2);
  });

  vitest.it('has no timer while the service is idle (guards against the cost of evaluating idle services)', () => {
    const simulation = new poolSimulation.PoolSimulation();
    simulation.runFor(5_000);
    simulation.timers.advanceTo(200_000);
    vitest.expect(simulation.timers.getNextDueMs()).toBeUndefined();
  });
});
