import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

const KEYS = core.contracts.DocumentKeys.fromText('entry-process-test');

function buildDocument(version: number): string {
  return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode({
    format: 1,
    deployment: 'test',
    version,
    base_digest: '',
    places: [{ name: 'a', region: 'r' }],
    services: [{
      name: 'orders',
      floor_instances: 1,
      slots_per_instance: 4,
      connections_per_instance: 10,
      detection: 'cautious',
      request_id_echo: 'echoed',
      not_run_answers: 'declared',
      answer_digest: 'absent',
      kinds: [{
        name: 'status', method: 'GET', path_prefix: '/status', repeatability: 'idempotent', priority: 'interactive', weight: 1, deadline_ms: 2_000, on_time_ms: 500,
      }],
    }],
    members: [{
      name: 'museum', counting: 'weighted-on-time', share: 1, key_digest: '',
    }],
  }), KEYS.privateKey);
}

vitest.describe('EntryProcess', () => {
  vitest.it('serves a request end to end under a sealed document (guards against a broken path between the parts)', async () => {
    const platform = new standins.platform.PlatformStandin();
    const platformUrl = await platform.listen();
    const upstream = new standins.upstreams.UpstreamStandin('orders-1');
    const upstreamPort = await upstream.listen();
    platform.publishDocument(buildDocument(1));
    platform.publishList([{
      role: 'upstream', name: 'orders-1', service: 'orders', incarnation: 'i1', host: '127.0.0.1', port: upstreamPort, place: 'a', state: 'live',
    }]);
    const process = (await entry.vms.EntryProcess.start({
      name: 'vm-1',
      deployment: 'test',
      place: 'a',
      host: '127.0.0.1',
      port: 0,
      peerPort: 0,
      platformUrl,
      documentPublicKey: KEYS.publicKey.export({ format: 'der', type: 'spki' }).toString('base64'),
      addressValidityMs: 1_000,
      seedPeers: [],
    }))._unsafeUnwrap();
    const url = `http://127.0.0.1:${process.port}`;
    await vitest.vi.waitFor(async () => {
      const addresses = await undici.request(`${url}/-/addresses?service=orders`);
      await addresses.body.dump();
      vitest.expect(addresses.statusCode).toBe(200);
    }, 10_000);
    const response = await undici.request(`${url}/orders/status/7`, { headers: { 'tamarack-member': 'museum' } });
    vitest.expect(response.headers['tamarack-outcome']).toBe('answered');
    vitest.expect(await response.body.json()).toEqual({ instance: 'orders-1', path: '/status/7' });
    await process.close();
    await upstream.close();
    await platform.close();
  });
});
