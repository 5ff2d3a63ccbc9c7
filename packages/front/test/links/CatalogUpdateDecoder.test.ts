import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as front from '@tamarackferry/front';
import type * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

const CONFIGURATION = {
  type: 'configuration',
  revision: 8,
  configuration: {
    version: 4,
    routes: [],
    services: [],
    limits: {
      headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
    },
    tenants: [],
  },
};
const RECORD = {
  id: 'i1', service: 's1', host: '10.0.0.9', port: 8_080, place: 'p1', slots: 4, state: 'ready', warmupMs: 0, startedAtMs: 1,
};
const INSTANCE = {
  type: 'instance', id: 'i1', revision: 7, record: RECORD,
};
const BASE = { confirmedAgeMs: 10, store: { confirmedForMs: 5 } };

function buildChanges(changes: readonly unknown[]): object {
  return {
    type: 'changes', revision: 9, ...BASE, changes,
  };
}

function buildSnapshot(changes: readonly unknown[]): object {
  return { type: 'snapshot', ...BASE, snapshot: { revision: 9, changes } };
}

// Entries that only another version of the program takes in.
const UNREADABLE_RECORDS: readonly (readonly [field: string, record: object])[] = [
  ['record.service', { ...RECORD, service: 'x'.repeat(2_000_000) }],
  ['record.state', { ...RECORD, state: 'asleep' }],
  ['record.port', { ...RECORD, port: 0 }],
  ['record.slots', { ...RECORD, slots: null }],
];

interface FetchResult {
  readonly message: gateway.contracts.CatalogMessage;
  /** Logged events, each with its field. */
  readonly events: readonly string[];
}

// Lets a client fetch an update from a VM that answers with the given data.
async function fetchUpdate(data: object): Promise<FetchResult> {
  const server = http.createServer((_, response) => response.end(JSON.stringify({ result: { data } })));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const events: string[] = [];
  const message = await new Promise<gateway.contracts.CatalogMessage>((resolve) => {
    const client: front.links.CatalogUpdateClient = new front.links.CatalogUpdateClient({
      port: (server.address() as net.AddressInfo).port,
      scheduler: new core.tasks.TaskScheduler(),
      catalogTask: { post: (posted) => void client.close().then(() => resolve(posted)) },
      onEvent: (event, fields) => events.push(`${event} ${fields['field']}`),
    });
    client.post({ type: 'fetch-update', host: '127.0.0.1', afterRevision: 6 });
  });
  server.close();
  return { message, events };
}

vitest.describe('CatalogUpdateDecoder', () => {
  // Guards against a configuration that is late because an entry beside it cannot be read.
  vitest.it.each(UNREADABLE_RECORDS)('keeps the configuration beside an instance whose %s cannot be read, and drops the instance', (field, record) => {
    [buildChanges([{ ...INSTANCE, record }, CONFIGURATION]), buildSnapshot([{ ...INSTANCE, record }, CONFIGURATION])].forEach((sent) => {
      const { update, unreadableFields } = front.links.CatalogUpdateDecoder.decode(sent)._unsafeUnwrap();
      const { changes } = update.type === 'snapshot' ? update.snapshot : update;
      vitest.expect(changes).toMatchObject([{ type: 'instance-removed', id: 'i1', revision: 7 }, CONFIGURATION]);
      vitest.expect(unreadableFields).toEqual([vitest.expect.stringContaining(`changes.0.${field}`)]);
    });
  });

  // Guards against a change that is lost without a word: the revision of the update would state that it was applied.
  vitest.it.each([
    ['a configuration', { ...CONFIGURATION, configuration: { ...CONFIGURATION.configuration, limits: {} } }, 'changes.1.configuration.limits'],
    ['a change of an unknown type', { type: 'other', revision: 8 }, 'changes.1.type'],
    ['an instance without an id', { ...INSTANCE, id: undefined }, 'changes.1.id'],
    ['a change without a revision', { ...INSTANCE, revision: undefined }, 'changes.1.revision'],
    ['no change at all', 7, 'changes.1'],
  ])('refuses an update with %s that cannot be read, and names the field', (_, change, field) => {
    vitest.expect(front.links.CatalogUpdateDecoder.decode(buildChanges([INSTANCE, change]))._unsafeUnwrapErr()).toContain(field);
    vitest.expect(front.links.CatalogUpdateDecoder.decode(buildSnapshot([INSTANCE, change]))._unsafeUnwrapErr()).toContain(field);
  });

  vitest.it('posts an update that can be read in part, and says what could not', async () => {
    const { message, events } = await fetchUpdate(buildChanges([{ ...INSTANCE, record: { ...RECORD, state: 'asleep' } }, CONFIGURATION]));
    vitest.expect(message).toMatchObject({ type: 'peer-update', update: { changes: [{ type: 'instance-removed' }, { type: 'configuration' }] } });
    vitest.expect(events).toEqual(['news-unreadable changes.0.record.state']);
  });

  vitest.it('reports an update that cannot be read, so that the store is read instead', async () => {
    const { message, events } = await fetchUpdate(buildChanges([{ ...CONFIGURATION, configuration: {} }]));
    vitest.expect(message).toEqual({ type: 'peer-unreadable', host: '127.0.0.1' });
    vitest.expect(events).toEqual(['news-unreadable changes.0.configuration.version']);
  });
});
