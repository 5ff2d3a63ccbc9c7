import * as vitest from 'vitest';

import * as testFleet from './TestFleet.js';

const NO_DEADLINE_MS = 10_000;

vitest.describe('a deployment of real processes', () => {
  let fleet: testFleet.TestFleet;

  vitest.beforeEach(async () => {
    fleet = new testFleet.TestFleet();
    await fleet.start();
  });

  vitest.afterEach(() => fleet.close());

  async function listOperations(count: number): Promise<readonly { readonly id: string; readonly path: string }[]> {
    const prefix = await fleet.fetchPrefix(fleet.deployment.vms[0]!);
    return Array.from({ length: count }, (_, index) => ({ id: `${prefix}.n${index}`, path: `/order/${index}` }));
  }

  vitest.it('repeats of operations whose home VM was killed are unknown and run nothing (guards against a second run elsewhere)', async () => {
    const [home, ...others] = fleet.deployment.vms;
    await Promise.all(fleet.deployment.upstreams.map((upstream) => upstream.setMode('slow')));
    const operations = await listOperations(6);
    const replies = Promise.all(operations.map((operation) => fleet.sendOperation(home!, operation, NO_DEADLINE_MS)));
    await fleet.waitUntil('all operations have started', async () => await fleet.countStarted() === operations.length);
    home!.kill('SIGKILL');
    await home!.ended;
    await replies;
    const repeat = async (vms: typeof others): Promise<void> => {
      const repeated = await Promise.all(vms.flatMap((vm) => operations.map((operation) => fleet.sendOperation(vm, operation, 2_000))));
      vitest.expect(repeated.map((reply) => reply.outcome)).toEqual(repeated.map(() => 'unknown'));
    };
    await repeat(others);
    vitest.expect(await fleet.deployment.startReplacement(0)).toMatchObject({ value: undefined });
    await fleet.waitUntil('the replaced VM serves', () => fleet.deployment.vms[0]!.isServing(1));
    await repeat([...fleet.deployment.vms]);
    await fleet.waitUntil('all operations have run', async () => (await fleet.deployment.countRuns()).size === operations.length);
    vitest.expect([...(await fleet.deployment.countRuns()).values()]).toEqual(operations.map(() => 1));
    vitest.expect(await fleet.countStarted()).toBe(operations.length);
  });

  vitest.it('a VM that resumes late starts nothing past its deadline (guards against acting on stale state after a pause)', async () => {
    const home = fleet.deployment.vms[0]!;
    const deadlineMs = 4_000;
    await Promise.all(fleet.deployment.upstreams.map((upstream) => upstream.setMode('slow')));
    const operations = await listOperations(40);
    const replies = Promise.all(operations.map((operation) => fleet.sendOperation(home, operation, deadlineMs)));
    await fleet.waitUntil('operations wait at the VM', async () => {
      const requests = (await home.fetchStatus())?.requests;
      return requests !== undefined && requests.queued > 0
        && requests.inFlight + requests.answered + requests.notRun + requests.unknown === operations.length;
    });
    home.kill('SIGSTOP');
    await fleet.clock.wait(deadlineMs);
    const startedInTime = await fleet.countStarted();
    home.kill('SIGCONT');
    const ended = await replies;
    const repeated = await Promise.all(operations.map((operation) => fleet.sendOperation(home, operation, NO_DEADLINE_MS)));
    vitest.expect(await fleet.countStarted()).toBe(startedInTime);
    const runs = await fleet.deployment.countRuns();
    vitest.expect(Math.max(...runs.values())).toBe(1);
    const notRun = [...ended, ...repeated].filter((reply) => reply.outcome === 'not-run');
    vitest.expect(notRun.length).toBeGreaterThan(0);
    vitest.expect(notRun.filter((reply) => runs.has(reply.path))).toEqual([]);
    vitest.expect(ended.filter((reply) => reply.outcome === 'answered' && !runs.has(reply.path))).toEqual([]);
  });

  vitest.it('a VM that starts while the platform is down serves the newest document (guards against a start with an older one)', async () => {
    const { deployment } = fleet;
    await deployment.publishNextDocument();
    vitest.expect(await deployment.waitForVersion(testFleet.LIMIT_MS)).toMatchObject({ value: undefined });
    await deployment.platform.setMode('down');
    deployment.vms[0]!.kill('SIGKILL');
    await deployment.vms[0]!.ended;
    const started = await deployment.startUnlisted(0);
    const vm = started._unsafeUnwrap();
    await fleet.waitUntil('the new VM serves version 2', () => vm.isServing(2));
    vitest.expect((await vm.fetchStatus())?.configuration.platform).not.toBe('reachable');
    await deployment.platform.setMode('serving');
    await fleet.waitUntil('the new VM answers an operation', async () => {
      const prefix = await fleet.fetchPrefix(vm);
      const reply = await fleet.sendOperation(vm, { id: `${prefix}.n${fleet.clock.timers.getNowMs().toFixed(0)}`, path: '/order/1' }, NO_DEADLINE_MS);
      return reply.outcome === 'answered';
    });
  });

  vitest.it('SIGTERM under load cuts no request and exits with code 0 (guards against a shutdown that drops callers)', async () => {
    const load = fleet.startLoad();
    await fleet.waitUntil('the load runs', () => Promise.resolve(load.countCalls().ended >= 30));
    const vm = fleet.deployment.vms[0]!;
    vm.kill('SIGTERM');
    vitest.expect(await vm.ended).toEqual({ code: 0, signal: null });
    const { ended } = load.countCalls();
    await fleet.waitUntil('the load goes on', () => Promise.resolve(load.countCalls().ended >= ended + 30));
    const calls = await load.stop();
    vitest.expect(calls.filter((call) => call.answer !== 'own')).toEqual([]);
  });

  vitest.it('truncated and crossed answers reach no caller (guards against partial and foreign answers)', async () => {
    const [truncated, crossed] = fleet.deployment.upstreams;
    await truncated!.setMode('truncated');
    await crossed!.setMode('crossed');
    const load = fleet.startLoad();
    await fleet.waitUntil('the load has met both instances', async () => {
      const works = await Promise.all([truncated!, crossed!].map((upstream) => upstream.fetchWork()));
      return load.countCalls().ended >= 60 && works.every((work) => (work?.started ?? 0) >= 2);
    });
    const calls = await load.stop();
    const runs = await fleet.deployment.countRuns();
    vitest.expect(calls.filter((call) => call.answer === 'wrong')).toEqual([]);
    vitest.expect(calls.filter((call) => call.answer === 'own').length).toBeGreaterThan(0);
    vitest.expect(Math.max(...runs.values())).toBe(1);
    vitest.expect(calls.filter((call) => call.outcome === 'not-run' && runs.has(call.path))).toEqual([]);
  });
});
