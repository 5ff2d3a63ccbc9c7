import * as entry from '@tamarackferry/entry';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

import * as testDeployment from './TestDeployment.js';

vitest.describe('EntryProcess', () => {
  const platform = new standins.platform.PlatformStandin();
  const upstream = new standins.upstreams.UpstreamStandin('orders-1');
  const started: entry.vms.EntryProcess[] = [];

  let platformUrl = '';

  async function startEntry(document: string): Promise<string> {
    platform.publishDocument(document);
    const process = (await entry.vms.EntryProcess.start(testDeployment.buildSettings('vm-1', platformUrl)))._unsafeUnwrap();
    started.push(process);
    return `http://127.0.0.1:${process.port}`;
  }

  vitest.beforeAll(async () => {
    platformUrl = await platform.listen();
    platform.publishList([testDeployment.buildInstance(await upstream.listen())]);
  });

  vitest.afterAll(async () => {
    await Promise.all(started.map((process) => process.close()));
    await upstream.close();
    await platform.close();
  });

  vitest.it('serves a request end to end under a sealed document (guards against a broken path between the parts)', async () => {
    const url = await startEntry(testDeployment.buildDocument(1));
    await vitest.vi.waitFor(async () => {
      const addresses = await undici.request(`${url}/-/addresses?service=orders`);
      await addresses.body.dump();
      vitest.expect(addresses.statusCode).toBe(200);
    }, 20_000);
    const response = await undici.request(`${url}/orders/status/7`, { headers: { 'tamarack-member': 'museum' } });
    vitest.expect(response.headers['tamarack-outcome']).toBe('answered');
    vitest.expect(await response.body.json()).toEqual({ instance: 'orders-1', path: '/status/7' });
    upstream.setMode('truncated');
    const truncated = await undici.request(`${url}/orders/status/7`, { headers: { 'tamarack-member': 'museum', 'tamarack-deadline-ms': '500' } });
    vitest.expect(truncated.headers['tamarack-outcome']).toBe('unknown');
    vitest.expect(await truncated.body.text()).not.toContain('orders-1');
    upstream.setMode('prompt');
  });

  vitest.it('refuses a document that was edited by hand and says so in status (guards against unsealed changes)', async () => {
    const url = await startEntry(testDeployment.buildDocument(2).replace('floor_instances = 1', 'floor_instances = 0'));
    await vitest.vi.waitFor(async () => {
      const status = await (await undici.request(`${url}/-/status`)).body.json() as { configuration: { refusal?: { type: string }; document?: unknown } };
      vitest.expect(status.configuration.refusal?.type).toBe('seal-invalid');
      vitest.expect(status.configuration.document).toBeUndefined();
    }, 20_000);
    const refused = await undici.request(`${url}/orders/status/7`);
    await refused.body.dump();
    vitest.expect(refused.headers['tamarack-outcome']).toBe('not-run');
  });
});
