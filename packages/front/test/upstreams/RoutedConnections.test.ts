import type * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as front from '@tamarackferry/front';
import type * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as heapMeter from '../HeapMeter.js';
import * as testUpstreamDialect from '../TestUpstreamDialect.js';
import * as rawInstance from './RawInstance.js';
import * as suspendedTimerService from './SuspendedTimerService.js';

// Time for the client to read the first part of the response before the reset.
const RESET_DELAY_MS = 50;

const BUFFER_BYTES = 1_000_000;

// Connections on which instances send without end, and fields that they send, which the parser accepts.
const PEERS = 50;
const SHORT_FIELDS = 15_000;

type Ending = gateway.upstreams.AttemptEnding;

/** Connections under test, with the results of their attempts. */
class TestConnections {
  private readonly resolvers = new Map<string, (ending: Ending) => void>();

  private lastAttemptNumber = 0;

  /** Clock, which runs ahead of the timers as in a process that was suspended. */
  readonly timers = new suspendedTimerService.SuspendedTimerService();

  readonly connections = new front.upstreams.RoutedConnections({
    scheduler: new core.tasks.TaskScheduler(),
    timers: this.timers,
    dialect: new testUpstreamDialect.TestUpstreamDialect(),
    answerBudget: new front.links.ByteBudget(BUFFER_BYTES),
    requestTask: {
      post: (message) => {
        if (message.type === 'attempt-ended') this.resolvers.get(message.attemptId)?.(message.ending);
      },
    },
  });

  /**
   * Sends an attempt and resolves to its result.
   * @param port - Port of the instance.
   * @param id - Id of the request.
   * @param body - Body of the request.
   */
  sendAttempt(port: number, id: string, body: gateway.callers.RequestArrival['body'] = Buffer.from(rawInstance.RawInstance.BODY)): Promise<Ending> {
    this.lastAttemptNumber += 1;
    const attemptId = String(this.lastAttemptNumber);
    this.connections.post({
      type: 'send-attempt',
      attemptId,
      arrival: {
        requestId: id,
        callerRequestId: id,
        method: 'POST',
        host: 'a',
        path: '/x/',
        headers: [],
        body,
        credential: undefined,
        deadlineMs: undefined,
        arrivedAtMs: 0,
      },
      identity: { type: 'unmanaged' },
      instance: {
        id: 'i1', service: 's1', host: '127.0.0.1', port, place: 'p1', slots: 4, state: 'ready', warmupMs: 0, startedAtMs: 1,
      },
      deadlineMs: 5_000,
      connectionLimit: 2 * PEERS,
    });
    return new Promise((resolve) => {
      this.resolvers.set(attemptId, resolve);
    });
  }

  /** Cancels the attempt that was sent last. */
  cancelLatest(): void {
    this.connections.post({ type: 'cancel-attempt', attemptId: String(this.lastAttemptNumber) });
  }
}

vitest.describe('RoutedConnections', () => {
  const tested = new TestConnections();
  let instance: rawInstance.RawInstance | undefined;

  async function startInstance(onRequest: (socket: net.Socket, requestId: string) => void): Promise<number> {
    instance = new rawInstance.RawInstance(onRequest);
    return instance.listen();
  }

  vitest.afterEach(() => instance?.close());

  vitest.it('returns a complete response and reuses the connection', async () => {
    const port = await startInstance((socket, id) => socket.write(rawInstance.RawInstance.buildResponse(id, 'whole')));
    const first = await tested.sendAttempt(port, 'q1');
    vitest.expect(first).toMatchObject({ type: 'answered', answer: { status: 200 } });
    await tested.sendAttempt(port, 'q2');
    vitest.expect(instance?.connections).toBe(1);
  });

  vitest.it('sends a body in parts with its length, and once more with another attempt', async () => {
    const port = await startInstance((socket, id) => socket.write(rawInstance.RawInstance.buildResponse(id, 'whole')));
    const parts = [Buffer.alloc(100_000, 'x'), Buffer.from(rawInstance.RawInstance.BODY)];
    vitest.expect(await tested.sendAttempt(port, 'q1', parts)).toMatchObject({ type: 'answered' });
    vitest.expect(await tested.sendAttempt(port, 'q2', parts)).toMatchObject({ type: 'answered' });
    vitest.expect(instance?.latestRequest).toMatch(/content-length: 100004/i);
    vitest.expect(instance?.latestRequest).not.toMatch(/transfer-encoding/i);
  });

  vitest.it('ends an attempt with a body in parts whose instance resets or cannot be reached', async () => {
    const port = await startInstance((socket) => socket.resetAndDestroy());
    const parts = [Buffer.alloc(100_000, 'x'), Buffer.from(rawInstance.RawInstance.BODY)];
    vitest.expect(await tested.sendAttempt(port, 'q1', parts)).toEqual({ type: 'reset' });
    instance?.close();
    vitest.expect(await tested.sendAttempt(port, 'q2', parts)).toEqual({ type: 'unsent' });
  });

  vitest.it('treats a reset in a response without Content-Length as an error, not as its end', async () => {
    const port = await startInstance((socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\n\r\npart of the bo`);
      new core.time.SystemTimerService().subscribe({
        mailbox: { post: () => socket.resetAndDestroy() }, message: 'reset', delayMs: RESET_DELAY_MS,
      });
    });
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it('treats a reset that arrives together with data of a response without Content-Length as an error', async () => {
    const port = await startInstance((socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\n\r\npart of the bo`, () => socket.resetAndDestroy());
    });
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it('treats an orderly close as the end of a response without Content-Length', async () => {
    const port = await startInstance((socket, id) => socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\n\r\nall`));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toMatchObject({ type: 'answered' });
  });

  vitest.it.each([
    ['an orderly close', (socket: net.Socket) => socket.end()],
    ['a reset', (socket: net.Socket) => socket.resetAndDestroy()],
  ] as const)('returns no response in chunks that ends by %s before the last chunk', async (_, endConnection) => {
    const port = await startInstance((socket, id) => {
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`, () => endConnection(socket));
    });
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it.each([
    ['a length', 'content-length: 9\r\n\r\npart'],
    ['chunks', 'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n'],
    ['no length', '\r\npart'],
  ])('does not take silence for the end of a response with %s', async (_, text) => {
    const port = await startInstance((socket, id) => socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\n${text}`));
    const sent = tested.sendAttempt(port, 'q1');
    await new Promise((resolve) => {
      new core.time.SystemTimerService().subscribe({ mailbox: { post: resolve }, message: undefined, delayMs: RESET_DELAY_MS });
    });
    tested.cancelLatest();
    vitest.expect(await sent).toEqual({ type: 'cancelled' });
  });

  // Guards against missing the statement of an instance that exits while it answers, and against taking it from bytes of another process.
  vitest.it.each([
    ['a response that breaks off', 'request-id: q1\r\nseal: 1\r\nleaving: 1\r\ncontent-length: 9\r\n\r\npart', { type: 'broken', presence: 'leaving' }],
    ['a refusal that breaks off', 'request-id: q1\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 9\r\n\r\npart', { type: 'broken', presence: 'leaving' }],
    ['a refusal', 'request-id: q1\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n', {
      type: 'not-run', statement: { load: undefined, limit: { type: 'none' }, presence: 'leaving' },
    }],
    ['a response without a seal', 'request-id: q1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n', { type: 'broken' }],
    ['a response to another request', 'request-id: other\r\nseal: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n', { type: 'broken' }],
    ['a response of another instance', 'request-id: q1\r\nmisdirected: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n', { type: 'misdirected' }],
  ])('reads from %s whether the instance is leaving', async (_, text, ending) => {
    const port = await startInstance((socket) => socket.end(`HTTP/1.1 200 OK\r\n${text}`));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual(ending);
  });

  vitest.it('returns no response that is shorter than its Content-Length', async () => {
    const port = await startInstance((socket, id) => socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ncontent-length: 9\r\n\r\npart`));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it('returns no response with the id of another request, and does not reuse the connection', async () => {
    const port = await startInstance((socket) => socket.write(rawInstance.RawInstance.buildResponse('other', 'foreign')));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
    await tested.sendAttempt(port, 'q2');
    vitest.expect(instance?.connections).toBe(2);
  });

  // Guards against bytes that are no answer: they must neither reach a caller, nor count as a statement that the request has not run, nor
  // leave the attempt without an end, and no later request may get what follows them.
  vitest.it.each(['000', '001', '099', '600', '999', '1000', '2000', '20', ''].flatMap((status) => [
    [status, 'a seal', 'seal: 1'], [status, 'a statement that it has not run', 'not-run: 1'],
  ] as const))('ends an attempt whose response has the status "%s" and %s as one that may have run, and does not reuse the connection', async (status, _, line) => {
    const port = await startInstance((socket, id) => {
      socket.write(`HTTP/1.1 ${status} Odd\r\nrequest-id: ${id}\r\n${line}\r\ncontent-length: 4\r\n\r\nbody`);
    });
    vitest.expect((await tested.sendAttempt(port, 'q1')).type).toMatch(/^(broken|reset)$/);
    vitest.expect((await tested.sendAttempt(port, 'q2')).type).toMatch(/^(broken|reset)$/);
    vitest.expect([instance?.requests, instance?.connections]).toEqual([2, 2]);
  });

  // Guards against an invalid status that is followed by what looks like the answer.
  vitest.it.each(['000', '099', '600', '999'])('takes nothing that follows a response with the status %s for the answer', async (status) => {
    const port = await startInstance((socket, id) => {
      socket.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: 0\r\n\r\n${rawInstance.RawInstance.buildResponse(id, 'later')}`);
    });
    vitest.expect((await tested.sendAttempt(port, 'q1')).type).toMatch(/^(broken|reset)$/);
    vitest.expect(instance?.requests).toBe(1);
  });

  vitest.it('returns no response without the seal of the instance', async () => {
    const port = await startInstance((socket, id) => socket.write(`HTTP/1.1 503 No\r\nrequest-id: ${id}\r\ncontent-length: 0\r\n\r\n`));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it('does not treat bytes after a response as the response to the next request', async () => {
    const port = await startInstance((socket, id) => {
      socket.write(rawInstance.RawInstance.buildResponse(id, 'own') + rawInstance.RawInstance.buildResponse(id, 'extra'));
    });
    vitest.expect(await tested.sendAttempt(port, 'q1')).toMatchObject({ type: 'answered' });
    const second = await tested.sendAttempt(port, 'q2');
    vitest.expect(second).toMatchObject({ type: 'answered' });
    vitest.expect(instance?.connections).toBe(2);
  });

  vitest.it('distinguishes a request that was not sent from one that may have been executed', async () => {
    const port = await startInstance((socket) => socket.resetAndDestroy());
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'reset' });
    instance?.close();
    vitest.expect(await tested.sendAttempt(port, 'q2')).toEqual({ type: 'unsent' });
  });

  // Guards against a request that starts past its deadline because the process was suspended while the connection was opened.
  vitest.it('does not write a request whose time is over when the connection opens', async () => {
    const port = await startInstance((socket) => socket.end(rawInstance.RawInstance.buildResponse('late', 'ok')));
    const sent = tested.sendAttempt(port, 'late');
    tested.timers.pause(60_000);
    vitest.expect(await sent).toEqual({ type: 'unsent' });
    vitest.expect(instance?.requests).toBe(0);
  });

  vitest.it('does not send a request again when its connection breaks', async () => {
    const port = await startInstance((socket) => socket.destroy());
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'reset' });
    vitest.expect(instance?.requests).toBe(1);
  });

  vitest.it('reports `not-run` if the instance reports that it did not execute the request', async () => {
    const port = await startInstance((socket, id) => socket.write(rawInstance.RawInstance.buildRefusal(id)));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toMatchObject({ type: 'not-run' });
    vitest.expect(await tested.sendAttempt(port, 'q2')).toMatchObject({ type: 'not-run' });
    vitest.expect(instance?.connections).toBe(1);
  });

  // Guards against a refusal that is taken for the one of a request that the instance is running.
  vitest.it.each([
    ['an earlier refusal', 'not-run: 1'],
    ['an earlier misdirection', 'misdirected: 1'],
  ])('does not believe %s that is written once more on a kept connection', async (_, statement) => {
    let refusal = '';
    const port = await startInstance((socket, id) => {
      if (refusal === '') refusal = rawInstance.RawInstance.buildRefusal(id, statement);
      // The instance runs every later request; only the copy of the refusal is sent.
      socket.write(refusal);
    });
    vitest.expect(['not-run', 'misdirected']).toContain((await tested.sendAttempt(port, 'q1')).type);
    vitest.expect(await tested.sendAttempt(port, 'q2')).toEqual({ type: 'broken' });
    await tested.sendAttempt(port, 'q3');
    vitest.expect(instance?.connections).toBe(2);
  });

  vitest.it.each([
    ['no id', 'HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'],
    ['two ids', 'HTTP/1.1 503 Busy\r\nrequest-id: q1\r\nrequest-id: q0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n'],
  ])('does not believe a refusal with %s (guards against a refusal of an unknown request)', async (_, text) => {
    const port = await startInstance((socket) => socket.write(text));
    vitest.expect(await tested.sendAttempt(port, 'q1')).toEqual({ type: 'broken' });
  });

  vitest.it('closes a connection on which a refusal arrives between two requests', async () => {
    const port = await startInstance((socket, id) => {
      socket.write(rawInstance.RawInstance.buildResponse(id, 'own'), () => socket.write(rawInstance.RawInstance.buildRefusal('q0')));
    });
    await tested.sendAttempt(port, 'q1');
    await new Promise((resolve) => {
      new core.time.SystemTimerService().subscribe({ mailbox: { post: resolve }, message: undefined, delayMs: RESET_DELAY_MS });
    });
    vitest.expect(await tested.sendAttempt(port, 'q2')).toMatchObject({ type: 'answered' });
    vitest.expect(instance?.connections).toBe(2);
  });

  // Bytes without end: the attempt must end by itself, and the process must not keep what it received.
  vitest.it.each([
    ['a head', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\n', `x: ${'x'.repeat(1_000)}\r\n`],
    ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n'],
    ['a body with the id of another request', 'HTTP/1.1 200 OK\r\nrequest-id: q0\r\nseal: 1\r\n\r\n', 'x'.repeat(1_000)],
    ['a body above the budget', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\n\r\n', 'x'.repeat(60_000)],
    ['trailers', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n', `x: ${'x'.repeat(1_000)}\r\n`],
    ['text that is no HTTP', '', 'x'.repeat(1_000)],
  ])('ends an attempt whose instance sends %s without end, and closes the connection', async (_, start, repeated) => {
    let closed = false;
    const port = await startInstance((socket) => {
      socket.once('close', () => {
        closed = true;
      });
      socket.write(start);
      const sendMore = (): void => {
        if (!socket.destroyed) socket.write(repeated, sendMore);
      };
      sendMore();
    });
    vitest.expect((await tested.sendAttempt(port, 'q1')).type).toMatch(/broken|reset/);
    await vitest.vi.waitFor(() => vitest.expect(closed).toBe(true));
  });

  vitest.it('closes a connection whose chunk extension has no end when the attempt is cancelled', async () => {
    let closed = false;
    const port = await startInstance((socket, id) => {
      socket.once('close', () => {
        closed = true;
      });
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n5;`);
      const sendMore = (): void => {
        if (!socket.destroyed) socket.write('x'.repeat(1_000), sendMore);
      };
      sendMore();
    });
    const sent = tested.sendAttempt(port, 'q1');
    await new Promise((resolve) => {
      new core.time.SystemTimerService().subscribe({ mailbox: { post: resolve }, message: undefined, delayMs: RESET_DELAY_MS });
    });
    tested.cancelLatest();
    vitest.expect((await sent).type).toMatch(/cancelled|broken/);
    await vitest.vi.waitFor(() => vitest.expect(closed).toBe(true));
  });

  // Guards against the end of the process by instances that send heads or trailers without end on many connections at once.
  vitest.it.each([
    ['head', () => 'HTTP/1.1 200 OK\r\n'],
    ['trailers', (id: string) => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n`],
  ] as const)('holds no more memory than the budget for many answers with endless short fields in their %s', async (_, buildStart) => {
    let peakBytes = 0;
    let waiting = PEERS;
    const meter = new heapMeter.HeapMeter();
    const port = await startInstance((socket, id) => {
      if (id === 'sound') {
        socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ncontent-length: 2\r\n\r\nok`);
        return;
      }
      // The fields of all answers come close to the limit of the parser, and then stop.
      socket.write(`${buildStart(id)}${'a:\r\n'.repeat(SHORT_FIELDS)}`, () => {
        waiting -= 1;
      });
    });
    const before = meter.measureBytes();
    const endings = Array.from({ length: PEERS }, (__, index) => tested.sendAttempt(port, `q${index}`));
    const sound = tested.sendAttempt(port, 'sound');
    await vitest.vi.waitFor(() => {
      peakBytes = Math.max(peakBytes, meter.measureBytes() - before);
      vitest.expect(waiting).toBe(0);
    }, { timeout: 10_000, interval: 100 });
    vitest.expect(peakBytes).toBeLessThanOrEqual(10 * BUFFER_BYTES);
    vitest.expect(await sound).toMatchObject({ type: 'answered' });
    instance?.close();
    await Promise.all(endings);
  });

  vitest.it('breaks off the longest response, not another one, when all of them exceed the budget', async () => {
    const port = await startInstance((socket, id) => {
      if (id === 'small') {
        socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\ncontent-length: 20000\r\n\r\n${'x'.repeat(10_000)}`);
        new core.time.SystemTimerService().subscribe({
          mailbox: { post: () => socket.write('x'.repeat(10_000)) }, message: 'rest', delayMs: 4 * RESET_DELAY_MS,
        });
        return;
      }
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: 1\r\n\r\n`);
      socket.write('x'.repeat(995_000));
    });
    const large = tested.sendAttempt(port, 'large');
    const small = tested.sendAttempt(port, 'small');
    vitest.expect(await large).toEqual({ type: 'broken' });
    vitest.expect(await small).toMatchObject({ type: 'answered' });
  });

  vitest.it('passes on what an instance states about itself, but not from a copy of an earlier answer', async () => {
    const port = await startInstance((socket, requestId) => {
      const echoed = requestId === 'q2' ? 'q1' : requestId;
      socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${echoed}\r\nseal: s\r\nlimit: 2.6\r\ncontent-length: 0\r\n\r\n`);
    });
    vitest.expect(await tested.sendAttempt(port, 'q1')).toMatchObject({ type: 'answered', statement: { limit: { type: 'stated', perSecond: 2.6 } } });
    vitest.expect(await tested.sendAttempt(port, 'q2')).toEqual({ type: 'broken' });
  });

  // At other operators, callers got such an answer as a success with an empty body.
  vitest.it.each(['fresh', 'kept'].flatMap((connection) => [
    ['the status line', 'HTTP/1.1 200 O'],
    ['the status line with its end', 'HTTP/1.1 200 OK\r\n'],
    ['a header name', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\nconte'],
    ['a header value', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\ncontent-length: 1'],
    ['the last header', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\n'],
    ['the last header, with the length 0', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\ncontent-length: 0\r\n'],
    ['the empty line', 'HTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\nconnection: close\r\n\r'],
    ['a head after an interim response', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nrequest-id: q1\r\nseal: 1\r\n'],
  ].map(([place, text]) => [connection, place!, text!] as const)))('takes an answer that ends within its head for broken (%s connection, in %s)', async (connection, _, text) => {
    const port = await startInstance((socket, requestId) => {
      if (requestId === 'q0') socket.write(rawInstance.RawInstance.buildResponse('q0', 'ok'));
      else socket.end(text);
    });
    if (connection === 'kept') vitest.expect((await tested.sendAttempt(port, 'q0')).type).toBe('answered');
    vitest.expect(['reset', 'broken']).toContain((await tested.sendAttempt(port, 'q1')).type);
    vitest.expect(instance!.connections).toBe(1);
  });
});
