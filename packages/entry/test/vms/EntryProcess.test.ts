import * as caller from '@tamarackferry/caller';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

import * as testDeployment from './TestDeployment.js';

vitest.describe('EntryProcess', () => {
  const platform = new standins.platform.PlatformStandin();
  const upstream = new standins.upstreams.UpstreamStandin('orders-1');
  const secondUpstream = new standins.upstreams.UpstreamStandin('orders-2');
  const startedProcesses: entry.vms.EntryProcess[] = [];

  let instances: core.vms.ListEntry[] = [];

  let platformUrl = '';

  async function startEntry(document: string): Promise<string> {
    platform.publishDocument(document);
    const process = (await entry.vms.EntryProcess.start(testDeployment.buildSettings('vm-1', platformUrl)))._unsafeUnwrap();
    startedProcesses.push(process);
    return `http://127.0.0.1:${process.port}`;
  }

  async function waitForAddresses(url: string): Promise<void> {
    await vitest.vi.waitFor(async () => {
      const addresses = await undici.request(`${url}/-/addresses?service=orders`);
      await addresses.body.dump();
      vitest.expect(addresses.statusCode).toBe(200);
    }, 20_000);
  }

  vitest.beforeAll(async () => {
    platformUrl = await platform.listen();
    instances = [testDeployment.buildInstance(await upstream.listen()), testDeployment.buildInstance(await secondUpstream.listen(), 'orders-2')];
    platform.publishList(instances);
  });

  vitest.afterAll(async () => {
    await Promise.all(startedProcesses.map((process) => process.close()));
    await Promise.all([upstream.close(), secondUpstream.close()]);
    await platform.close();
  });

  vitest.it('routes a request to an instance and returns its answer under a sealed document (guards against tasks that are connected wrongly)', async () => {
    const url = await startEntry(testDeployment.buildDocument(1));
    await waitForAddresses(url);
    const response = await undici.request(`${url}/orders/status/7`, { headers: { 'tamarack-member': 'museum' } });
    vitest.expect(response.headers['tamarack-outcome']).toBe('answered');
    vitest.expect(await response.body.json()).toMatchObject({ path: '/status/7' });
  });

  vitest.it.each(['truncated', 'crossed', 'resetting', 'silent'] as const)('returns no answer of an instance in mode %s to callers (guards against incomplete answers and answers to other requests)', async (mode) => {
    const url = await startEntry(testDeployment.buildDocument(1));
    await waitForAddresses(url);
    upstream.setMode(mode);
    const bodies = await Promise.all(Array.from({ length: 20 }, async (_, index) => {
      const response = await undici.request(`${url}/orders/status/${index}`, { headers: { 'tamarack-member': 'museum', 'tamarack-deadline-ms': '1000' } });
      return { index, outcome: response.headers['tamarack-outcome'], body: await response.body.text() };
    }));
    upstream.setMode('prompt');
    bodies.forEach(({ index, outcome, body }) => {
      if (outcome === 'answered') vitest.expect(JSON.parse(body)).toEqual({ instance: 'orders-2', path: `/status/${index}` });
      else vitest.expect(body).not.toContain('instance');
    });
    vitest.expect(bodies.some(({ outcome }) => outcome === 'answered')).toBe(true);
    vitest.expect(bodies.some(({ outcome }) => outcome !== 'answered')).toBe(true);
  });

  vitest.it('runs each operation exactly once while the VM that issued its id prefix stops (guards against operations that run twice)', async () => {
    platform.publishDocument(testDeployment.buildDocument(1));
    const vms = await Promise.all(['vm-1', 'vm-2'].map(async (name) => (
      (await entry.vms.EntryProcess.start(testDeployment.buildSettings(name, platformUrl)))._unsafeUnwrap()
    )));
    startedProcesses.push(...vms);
    platform.publishList([...instances, ...vms.map((vm, index) => ({
      role: 'entry', name: `vm-${index + 1}`, host: '127.0.0.1', port: vm.port, peerPort: vm.peerPort, place: 'a', state: 'live',
    } as const))]);
    await vitest.vi.waitFor(async () => {
      const content = await (await undici.request(`http://127.0.0.1:${vms[0]?.port}/-/addresses?service=orders`)).body.json() as { addresses: unknown[] };
      vitest.expect(content.addresses.length).toBe(2);
    }, { timeout: 40_000, interval: 100 });
    const client = new caller.callers.CallerClient({
      seeds: vms.map((vm) => ({ host: '127.0.0.1', port: vm.port })),
      member: 'museum',
      timers: new core.time.SystemTimerService(),
      random: new core.randomness.SeededRandomSource(1),
    });
    const outcomes: string[] = [];
    let state: 'running' | 'stopped' = 'running';
    const sendUntilStopped = async (): Promise<void> => {
      const result = await client.send({
        service: 'orders', method: 'POST', path: '/order', deadlineMs: 20_000, repeatability: 'non-idempotent',
      });
      outcomes.push(result.match((answer) => String(answer.status), (failure) => `${failure.type} ${failure.reason}`));
      if (state === 'running') await sendUntilStopped();
    };
    const load = Array.from({ length: 4 }, sendUntilStopped);
    await vitest.vi.waitFor(() => vitest.expect(outcomes.length).toBeGreaterThan(20), 20_000);
    vms[0]?.stop();
    await vms[0]?.waitForEnd();
    state = 'stopped';
    await Promise.all(load);
    await client.close();
    vitest.expect(new Set(outcomes)).toEqual(new Set(['200']));
    const runCounts = [upstream, secondUpstream].flatMap((instance) => [...instance.register.countRuns().values()]);
    vitest.expect(runCounts.length).toBe(outcomes.length);
    vitest.expect(new Set(runCounts)).toEqual(new Set([1]));
    platform.publishList(instances);
  });

  vitest.it('refuses a document that was changed after it was sealed and reports the reason in its status (guards against unsealed changes)', async () => {
    const url = await startEntry(testDeployment.buildDocument(2).replace('floor_instances = 1', 'floor_instances = 0'));
    await vitest.vi.waitFor(async () => {
      const status = await (await undici.request(`${url}/-/status`)).body.json() as { configuration: { refusal?: { type: string }; document?: unknown } };
      vitest.expect(status.configuration.refusal?.type).toBe('seal-invalid');
      vitest.expect(status.configuration.document).toBeUndefined();
    }, 20_000);
    const response = await undici.request(`${url}/orders/status/7`);
    await response.body.dump();
    vitest.expect(response.headers['tamarack-outcome']).toBe('not-run');
  });
});
