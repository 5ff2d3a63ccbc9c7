import * as caller from '@tamarackferry/caller';
import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as vmStandin from './VmStandin.js';

const UNKNOWN = { status: 502, headers: { 'tamarack-outcome': 'unknown', 'tamarack-reason': 'home-unreachable' } };

vitest.describe('CallerClient', () => {
  const openResources: { close(): Promise<void> }[] = [];

  async function startVms(...vms: vmStandin.VmStandin[]): Promise<void> {
    await Promise.all(vms.map((vm) => vm.listen()));
    vms.forEach((vm) => Object.assign(vm, { otherVms: vms.filter((other) => other !== vm) }));
    openResources.push(...vms);
  }

  function createClient(...seeds: vmStandin.VmStandin[]): caller.callers.CallerClient {
    const client = new caller.callers.CallerClient({
      seeds: seeds.map((vm) => ({ host: '127.0.0.1', port: vm.port })),
      member: 'museum',
      memberKey: 'secret',
      timers: new core.time.SystemTimerService(),
      random: new core.randomness.SeededRandomSource(1),
    });
    openResources.push(client);
    return client;
  }

  function buildRequest(overrides: Partial<caller.callers.CallerRequest> = {}): caller.callers.CallerRequest {
    return {
      service: 'orders', method: 'GET', path: '/status', deadlineMs: 20_000, repeatability: 'idempotent', ...overrides,
    };
  }

  vitest.afterEach(async () => {
    await Promise.all(openResources.splice(0).map((resource) => resource.close()));
  });

  vitest.it('sends the member, its key and the deadline in headers (guards against requests without a member)', async () => {
    const vm = new vmStandin.VmStandin('vm-1');
    await startVms(vm);
    const answer = (await createClient(vm).send(buildRequest()))._unsafeUnwrap();
    vitest.expect(answer.body.toString()).toBe('vm-1');
    vitest.expect(vm.receivedRequests[0]?.path).toBe('/orders/status');
    vitest.expect(vm.receivedRequests[0]?.headers).toMatchObject({ 'tamarack-member': 'museum', 'tamarack-member-key': 'secret' });
    vitest.expect(Number(vm.receivedRequests[0]?.headers['tamarack-deadline-ms'])).toBeLessThan(20_000);
  });

  vitest.it('uses the other VMs and keeps their addresses while the VM that listed them is down (guards against a client that depends on one VM)', async () => {
    const [one, two] = [new vmStandin.VmStandin('vm-1'), new vmStandin.VmStandin('vm-2')];
    one.validForMs = 200;
    await startVms(one, two);
    const client = createClient(one);
    await client.send(buildRequest());
    await one.close();
    two.buildResponse = () => ({ status: 200, headers: { 'tamarack-outcome': 'answered' }, body: 'two' });
    const answers = await Promise.all(Array.from({ length: 10 }, () => client.send(buildRequest())));
    vitest.expect(answers.map((answer) => answer._unsafeUnwrap().body.toString())).toEqual(Array.from({ length: 10 }, () => 'two'));
    await one.listen();
  });

  vitest.it('refreshes addresses before they expire, and only while the service is used (guards against use of expired addresses)', async () => {
    const vm = new vmStandin.VmStandin('vm-1');
    vm.validForMs = 300;
    await startVms(vm);
    const client = createClient(vm);
    await client.send(buildRequest());
    await vitest.vi.waitFor(() => vitest.expect(vm.addressRequestCount).toBe(2), { timeout: 20_000 });
    await client.send(buildRequest());
    vitest.expect(vm.addressRequestCount).toBe(2);
  });

  vitest.it('sends an operation directly to the home VM of its prefix (guards against operations that another VM has to forward)', async () => {
    const [one, two] = [new vmStandin.VmStandin('vm-1'), new vmStandin.VmStandin('vm-2')];
    await startVms(one, two);
    const client = createClient(two);
    await Promise.all(Array.from({ length: 5 }, () => client.send(buildRequest({ method: 'POST', repeatability: 'non-idempotent' }))));
    vitest.expect(one.receivedRequests).toEqual([]);
    const ids = two.receivedRequests.map((request) => request.operationId ?? '');
    vitest.expect(new Set(ids).size).toBe(5);
    ids.forEach((id) => vitest.expect(id).toMatch(/^vm-2\.i1\.1\.[A-Za-z0-9_-]{1,64}$/));
  });

  vitest.it('uses a new operation id from another VM if no byte was written (guards against operations that fail because their home VM is down)', async () => {
    const [one, two] = [new vmStandin.VmStandin('vm-1'), new vmStandin.VmStandin('vm-2')];
    await startVms(one, two);
    two.prefixHomeVms = ['vm-1'];
    await one.close();
    const answer = await createClient(two).send(buildRequest({ method: 'POST', repeatability: 'non-idempotent' }));
    vitest.expect(answer._unsafeUnwrap().body.toString()).toBe('vm-2');
    vitest.expect(two.receivedRequests.map((request) => request.operationId?.split('.')[0])).toEqual(['vm-2']);
    await one.listen();
  });

  vitest.it.each([['close'], [UNKNOWN]] as const)('retries an operation of unknown outcome with the same id (guards against an operation that runs twice), first response %j', async (first) => {
    const [one, two] = [new vmStandin.VmStandin('vm-1'), new vmStandin.VmStandin('vm-2')];
    await startVms(one, two);
    const answers: vmStandin.ScriptedResponse[] = [first, UNKNOWN];
    const script = (): vmStandin.ScriptedResponse => answers.shift() ?? { status: 200, headers: { 'tamarack-outcome': 'answered' }, body: 'done' };
    one.buildResponse = script;
    two.buildResponse = script;
    const answer = await createClient(one).send(buildRequest({ method: 'POST', repeatability: 'non-idempotent' }));
    vitest.expect(answer._unsafeUnwrap().body.toString()).toBe('done');
    const ids = [...one.receivedRequests, ...two.receivedRequests].map((request) => request.operationId);
    vitest.expect(ids.length).toBe(3);
    vitest.expect(new Set(ids).size).toBe(1);
  });

  vitest.it('retries with a new operation id after "not run", and stops if the response has no retry-after (guards against endless retries)', async () => {
    const vm = new vmStandin.VmStandin('vm-1');
    await startVms(vm);
    const shed = { 'tamarack-outcome': 'not-run', 'tamarack-reason': 'overloaded' };
    const answers: vmStandin.ScriptedResponse[] = [{ status: 503, headers: { ...shed, 'retry-after': '0' } }, { status: 403, headers: { ...shed, 'tamarack-reason': 'unknown-member' } }];
    vm.buildResponse = () => answers.shift() ?? 'close';
    const failure = (await createClient(vm).send(buildRequest({ method: 'POST', repeatability: 'non-idempotent' })))._unsafeUnwrapErr();
    vitest.expect(failure).toEqual({ type: 'not-run', reason: 'unknown-member' });
    vitest.expect(new Set(vm.receivedRequests.map((request) => request.operationId)).size).toBe(2);
  });

  vitest.it.each([
    ['the deadline', 500, 'unknown', 'overdue'],
    ['a cancellation', 20_000, 'unknown', 'cancelled'],
  ] as const)('reports the outcome of a sent operation as unknown after %s (guards against a false "not run")', async (_, deadlineMs, type, reason) => {
    const vm = new vmStandin.VmStandin('vm-1');
    await startVms(vm);
    const abort = new AbortController();
    vm.buildResponse = () => {
      if (reason === 'cancelled') abort.abort();
      return 'hold';
    };
    const failure = await createClient(vm).send(buildRequest({
      method: 'POST', repeatability: 'non-idempotent', deadlineMs, signal: abort.signal,
    }));
    vitest.expect(failure._unsafeUnwrapErr()).toEqual({ type, reason });
  });

  vitest.it('never sends an operation without an id (guards against a run that the home VM cannot recognise as a duplicate)', async () => {
    const vm = new vmStandin.VmStandin('vm-1', 'silent');
    await startVms(vm);
    const failure = await createClient(vm).send(buildRequest({ method: 'POST', repeatability: 'non-idempotent', deadlineMs: 300 }));
    vitest.expect(failure._unsafeUnwrapErr()).toEqual({ type: 'not-run', reason: 'no-operation-prefix' });
    vitest.expect(vm.receivedRequests).toEqual([]);
  });

  vitest.it('reports an unknown outcome if a response has no outcome header (guards against responses of another server on the same port)', async () => {
    const vm = new vmStandin.VmStandin('vm-1');
    await startVms(vm);
    vm.buildResponse = () => ({ status: 200, headers: {}, body: 'other' });
    vitest.expect((await createClient(vm).send(buildRequest()))._unsafeUnwrapErr()).toEqual({ type: 'unknown', reason: 'outcome-missing' });
    vitest.expect(vm.receivedRequests.length).toBe(3);
  });
});
