import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as front from '@tamarackferry/front';
import type * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

const UPDATE: gateway.contracts.CatalogUpdate = {
  type: 'changes', revision: 7, confirmedAgeMs: 10, store: { confirmedForMs: 100 }, changes: [],
};

// Longer than the client keeps an idle connection.
const IDLE_MS = 600;

vitest.describe('CatalogUpdateClient', () => {
  // Guards against late changes after a connection between VMs has gone silent while it was idle.
  vitest.it('fetches an update although the connection of the previous one has gone silent', async () => {
    const used = new Set<net.Socket>();
    const server = http.createServer((request, response) => {
      if (!used.has(request.socket)) response.end(JSON.stringify({ result: { data: UPDATE } }));
      used.add(request.socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const timers = new core.time.SystemTimerService();
    const received: gateway.contracts.CatalogMessage[] = [];
    await new Promise<void>((resolve) => {
      const client: front.links.CatalogUpdateClient = new front.links.CatalogUpdateClient({
        port: (server.address() as net.AddressInfo).port,
        scheduler: new core.tasks.TaskScheduler(),
        catalogTask: {
          post: (message) => {
            received.push(message);
            if (received.length === 2) void client.close().then(resolve);
            else timers.subscribe({ mailbox: client, message: { type: 'fetch-update' as const, host: '127.0.0.1', afterRevision: 7 }, delayMs: IDLE_MS });
          },
        },
        onEvent: () => undefined,
      });
      client.post({ type: 'fetch-update', host: '127.0.0.1', afterRevision: 6 });
    });
    vitest.expect(received).toEqual([1, 2].map(() => ({ type: 'peer-update', host: '127.0.0.1', update: UPDATE })));
    server.close();
  });
});
