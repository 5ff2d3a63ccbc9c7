import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as neverthrow from 'neverthrow';
import * as vitest from 'vitest';

import * as recordingMailbox from '../vms/RecordingMailbox.js';

const FROM: core.vms.VmIdentity = {
  name: 'vm-1', incarnation: 'i', host: '127.0.0.1', port: 1, peerPort: 2, place: 'a',
};

function buildEnvelope(sequence: number, message: core.vms.PeerMessage): core.vms.PeerEnvelope {
  return {
    format: 1, from: FROM, sequence, message,
  };
}

const MESSAGES: readonly core.vms.PeerMessage[] = [
  {
    type: 'exchange', direction: 'request', document: undefined, state: 'starting', drains: [], ejections: [{ service: 's', instances: ['x'] }], peers: [FROM],
  },
  { type: 'document', text: 'format = 1\n' },
  {
    type: 'operation-forwarded',
    forwardId: 'f',
    request: {
      service: 's', method: 'POST', path: '/p', headers: [['a', 'b']], body: Buffer.from([0, 255, 7]), digest: 'd', member: 'm', deadlineMs: 5, operationId: 'o',
    },
  },
  { type: 'operation-ended', forwardId: 'f', outcome: { type: 'answered', answer: { status: 200, headers: [], body: Buffer.from([1, 2]) } } },
  { type: 'operation-ended', forwardId: 'f', outcome: { type: 'not-run', reason: 'cancelled', retryAfterMs: 0 } },
];

vitest.describe('PeerConnections and PeerServer', () => {
  const receiverMailbox = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
  const senderMailbox = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
  const server = new entry.links.PeerServer({
    host: '127.0.0.1', port: 0, scheduler: new core.tasks.TaskScheduler(), vm: receiverMailbox,
  });
  let to: core.vms.VmIdentity;

  function createConnections(transport: entry.links.PeerTransport = new entry.links.TrpcPeerTransport()): entry.links.PeerConnections {
    return new entry.links.PeerConnections({
      scheduler: new core.tasks.TaskScheduler(), timers: new core.time.SystemTimerService(), transport, vm: senderMailbox,
    });
  }

  vitest.beforeAll(async () => {
    to = { ...FROM, name: 'vm-2', peerPort: (await server.listen())._unsafeUnwrap() };
  });
  vitest.beforeEach(() => {
    receiverMailbox.messages.length = 0;
    senderMailbox.messages.length = 0;
  });
  vitest.afterAll(() => server.close());

  vitest.it('delivers messages unchanged and in order (guards against bodies corrupted by their encoding)', async () => {
    const connections = createConnections();
    const envelopes = MESSAGES.map((message, index) => buildEnvelope(index, message));
    envelopes.forEach((envelope) => connections.post({ type: 'send-peer', to, envelope }));
    await receiverMailbox.waitFor('peer-envelope', envelopes.length);
    vitest.expect(receiverMailbox.list('peer-envelope').map(({ envelope }) => envelope)).toEqual(envelopes);
    vitest.expect(senderMailbox.messages).toEqual([]);
    await connections.close();
  });

  vitest.it.each([
    ['text that is not JSON', 'hello'], ['an object that is not an envelope', '{"a":1}'], ['an envelope without a message', '[{"format":1}]'], ['a field of the wrong type', JSON.stringify([buildEnvelope(1, { type: 'document', text: 5 as unknown as string })])],
    ['a reason that is not a valid header value', JSON.stringify([{
      format: 1, from: FROM, sequence: 1, message: { type: 'operation-ended', forwardId: 'f', outcome: { type: 'unknown', reason: 'a\r\nb: c' } },
    }])],
  ])('reports a delivery with %s as invalid and accepts the next one (guards against a malformed message that crashes the process)', async (_, body) => {
    await fetch(`http://127.0.0.1:${to.peerPort}/deliver`, { method: 'POST', headers: { 'content-type': 'application/json' }, body });
    await receiverMailbox.waitFor('peer-invalid');
    vitest.expect(receiverMailbox.list('peer-envelope')).toEqual([]);
    const connections = createConnections();
    connections.post({ type: 'send-peer', to, envelope: buildEnvelope(1, { type: 'leaving' }) });
    await receiverMailbox.waitFor('peer-envelope');
    await connections.close();
  });

  vitest.it('reports an unreachable peer once and does not retry (guards against an operation that is forwarded twice)', async () => {
    const connections = createConnections();
    connections.post({ type: 'send-peer', to: { ...to, name: 'vm-3', peerPort: 1 }, envelope: buildEnvelope(1, { type: 'leaving' }) });
    vitest.expect((await senderMailbox.waitFor('peer-unreached')).to).toBe('vm-3');
    connections.post({ type: 'send-peer', to, envelope: buildEnvelope(2, { type: 'leaving' }) });
    await receiverMailbox.waitFor('peer-envelope');
    vitest.expect(senderMailbox.messages.length).toBe(1);
    await connections.close();
  });

  vitest.it('limits the queue of a peer that does not respond and aborts its delivery after the time-out (guards against memory that grows during a network partition)', async () => {
    const deliveries: number[] = [];
    const transport = new (class extends entry.links.PeerTransport {
      override deliver(_: core.vms.VmIdentity, envelopes: readonly core.vms.PeerEnvelope[], signal: AbortSignal): Promise<neverthrow.Result<void, 'unreached'>> {
        deliveries.push(envelopes.length);
        return new Promise((resolve) => {
          signal.addEventListener('abort', () => resolve(neverthrow.err('unreached')));
        });
      }

      override close(): Promise<void> {
        return Promise.resolve();
      }
    })();
    const timers = new core.time.VirtualTimerService();
    const connections = new entry.links.PeerConnections({
      scheduler: new core.tasks.TaskScheduler(), timers, transport, vm: senderMailbox,
    });
    Array.from({ length: 300 }).forEach((_, index) => connections.post({ type: 'send-peer', to, envelope: buildEnvelope(index, { type: 'leaving' }) }));
    // The first envelope is in delivery, and 256 are queued.
    vitest.expect(senderMailbox.list('peer-unreached').length).toBe(300 - 1 - 256);
    timers.advanceTo(2_000);
    await vitest.vi.waitFor(() => vitest.expect(deliveries).toEqual([1, 256]), { timeout: 20_000 });
  });
});
