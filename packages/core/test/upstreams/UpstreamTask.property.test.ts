import * as core from '@tamarackferry/core';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as poolSimulation from './PoolSimulation.js';

const SEED = 20_261;

const INSTANCES = 4;

const OBSERVATIONS: readonly core.upstreams.Observation[] = [
  'on-time', 'late', 'failed', 'timed-out', 'corrupt', 'shed', 'draining', 'refused', 'withdrawn',
];

const COMMAND = fastCheck.oneof(
  fastCheck.record({ type: fastCheck.constant('acquire' as const), excluded: fastCheck.subarray(['i0', 'i1']) }),
  fastCheck.record({
    type: fastCheck.constant('observed' as const), index: fastCheck.nat(20), observation: fastCheck.constantFrom(...OBSERVATIONS),
  }),
  fastCheck.record({ type: fastCheck.constant('list' as const), count: fastCheck.nat(INSTANCES), incarnation: fastCheck.constantFrom('x', 'y') }),
  fastCheck.record({
    type: fastCheck.constant('drain' as const), instance: fastCheck.constantFrom('i0', 'i1', 'i2'), incarnation: fastCheck.constantFrom('x', 'y'),
  }),
  fastCheck.record({ type: fastCheck.constant('contract' as const), floorInstances: fastCheck.nat(INSTANCES), slotsPerInstance: fastCheck.integer({ min: 1, max: 3 }) }),
  fastCheck.record({ type: fastCheck.constant('peer-ejections' as const), instances: fastCheck.subarray(['i0', 'i1', 'i2']) }),
  fastCheck.record({ type: fastCheck.constant('advance' as const), byMs: fastCheck.nat(3_000) }),
);

type Command = ReturnType<typeof COMMAND.generate>['value'];

type Reply = core.upstreams.AcquireReply | core.upstreams.CapacityFreed;

/** Runs the commands against one task and returns the violated invariants. */
function findViolations(commands: readonly Command[], rules = poolSimulation.buildRules({})): readonly string[] {
  const simulation = new poolSimulation.PoolSimulation({ instances: INSTANCES, contract: { slotsPerInstance: 2 }, rules });
  const { task } = simulation.vms[0]!;
  const violations: string[] = [];
  const inFlight: string[] = [];
  const drained = new Set<string>();
  const incarnations = new Map<string, string>();
  const requests: { waiting: 'none' | 'waiting' } = { waiting: 'none' };
  let replies: Reply[] = [];
  const requester = {
    post: (reply: Reply) => {
      replies.push(reply);
      if (reply.type === 'capacity-freed') requests.waiting = 'none';
    },
  };
  const observe = (attemptId: string, observation: core.upstreams.Observation): void => {
    if (observation === 'draining') drained.add(incarnations.get(attemptId)!);
    task.post({
      type: 'observed', attemptId, observation, latencyMs: 10, load: undefined, drain: undefined,
    });
  };
  commands.forEach((command, step) => {
    replies = [];
    if (command.type === 'acquire') {
      task.post({
        type: 'acquire', attemptId: `${step}`, excluded: command.excluded, replyTo: requester,
      });
      const [reply] = replies;
      if (replies.length !== 1 || reply === undefined) violations.push('not exactly one reply');
      if (reply?.type === 'unavailable' && reply.cause === 'saturated') requests.waiting = 'waiting';
      if (reply?.type === 'assigned') {
        inFlight.push(reply.attemptId);
        incarnations.set(reply.attemptId, `${reply.instance.name}/${reply.instance.incarnation}`);
        if (drained.has(incarnations.get(reply.attemptId)!)) violations.push('drained incarnation used');
        if (command.excluded.includes(reply.instance.name)) violations.push('excluded instance used');
      }
    } else if (command.type === 'observed') {
      inFlight.splice(command.index, 1).forEach((attemptId) => observe(attemptId, command.observation));
    } else if (command.type === 'list') {
      task.post({ type: 'list', entries: poolSimulation.buildEntries(command.count, { incarnation: command.incarnation }) });
    } else if (command.type === 'drain') {
      drained.add(`${command.instance}/${command.incarnation}`);
      task.post({ type: 'drain', notices: [{ service: 's', instance: command.instance, incarnation: command.incarnation }] });
    } else if (command.type === 'contract') {
      task.post({ type: 'contract', contract: poolSimulation.buildContract(command) });
    } else if (command.type === 'peer-ejections') {
      task.post({ type: 'peer-ejections', from: 'peer', instances: command.instances });
    } else simulation.timers.advanceTo(simulation.timers.getNowMs() + command.byMs);
  });
  inFlight.forEach((attemptId) => observe(attemptId, 'on-time'));
  simulation.timers.advanceTo(simulation.timers.getNowMs() + 10_000);
  const { instances } = task.getStatus();
  // A probe in flight occupies a slot for a short time, so all slots must be free at one of several moments.
  const slotsFree = Array.from({ length: 20 }, () => {
    simulation.timers.advanceTo(simulation.timers.getNowMs() + 100);
    return task.getStatus().instances.every((each) => each.inFlight === 0);
  });
  if (!slotsFree.includes(true)) violations.push('slot not released');
  if (requests.waiting === 'waiting' && instances.some((each) => each.weight > 0)) violations.push('waiting requester not notified');
  return violations;
}

vitest.describe('UpstreamTask', () => {
  vitest.it('replies, releases slots and drains under any order of messages (guards against orders that no example test covers)', () => {
    const build = (rules = poolSimulation.buildRules({})): fastCheck.IProperty<[Command[]]> => fastCheck
      .property(fastCheck.array(COMMAND, { maxLength: 80 }), (commands) => findViolations(commands, rules).length === 0);
    fastCheck.assert(build(), { seed: SEED, numRuns: 400 });
    const record = new core.upstreams.DrainRecord();
    const faulty = poolSimulation.buildRules({ createDrainRecord: () => Object.assign(record, { has: () => false }) });
    vitest.expect(fastCheck.check(build(faulty), { seed: SEED, numRuns: 400 }).failed).toBe(true);
  });
});
