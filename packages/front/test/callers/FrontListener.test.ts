import * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as front from '@tamarackferry/front';
import type * as gateway from '@tamarackferry/gateway';
import * as vitest from 'vitest';

import * as testCallerDialect from '../TestCallerDialect.js';
import * as testCaller from './TestCaller.js';

const BUFFER_BYTES = 1_000_000;
const CONNECTIONS = 100;

// Head that the parser holds, and the number of such heads within the limit of the listeners under test.
const UNFINISHED_HEAD = `GET /x/ HTTP/1.1\r\n${'a:\r\n'.repeat(3_000)}`;
const HEADS_WITHIN_LIMIT = 8;

// Time for several checks of unfinished heads.
const HEAD_CHECKS_MS = 300;

// More than the buffers of both sockets hold.
const LONG_ANSWER_BYTES = 16_000_000;

/** Listener under test, with a record of the messages that it posts. */
class TestListener {
  readonly messages: gateway.callers.RoutedRequestMessage[] = [];

  /** Names of the logged events. */
  readonly events: string[] = [];

  readonly answerBudget = new front.links.ByteBudget(BUFFER_BYTES);

  readonly listener: front.callers.FrontListener;

  /** Memory of all buffers that the listener measures. */
  measuredBytes = 0;

  private port = 0;

  /** @param bufferBytes - Limit on the bodies of all requests. */
  constructor(bufferBytes = BUFFER_BYTES) {
    this.listener = new front.callers.FrontListener({
      host: '127.0.0.1',
      port: 0,
      scheduler: new core.tasks.TaskScheduler(),
      timers: new core.time.SystemTimerService(),
      dialect: new testCallerDialect.TestCallerDialect(),
      requestTask: { post: (message) => this.messages.push(message) },
      bufferBytes,
      connectionLimits: { connections: CONNECTIONS, headBytes: BUFFER_BYTES },
      answerBudget: this.answerBudget,
      measureBuffers: () => this.measuredBytes,
      onEvent: (event) => this.events.push(event),
    });
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    this.port = (await this.listener.listen())._unsafeUnwrap();
  }

  /** Gets the port of the listener. */
  getPort(): number {
    return this.port;
  }

  /** Lists the requests that the listener posted. */
  listArrivals(): gateway.callers.RequestArrival[] {
    return this.messages.flatMap((message) => (message.type === 'request-arrived' ? [message.arrival] : []));
  }

  /**
   * Sends the response to a request.
   * @param requestId - Id of the request.
   * @param text - Body of the response.
   */
  answer(requestId: string, text: string): void {
    this.listener.post({ type: 'answer', requestId, answer: { status: 200, headers: ['kept', '1'], body: Buffer.from(text) } });
  }
}

function buildRequest(id: string, body = ''): string {
  return `POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

function buildChunkedRequest(id: string, extension: string): string {
  const chunk = `64${extension}\r\n${'x'.repeat(100)}\r\n`;
  return `POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(120)}0\r\n\r\n`;
}

function waitFor(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    new core.time.SystemTimerService().subscribe({ mailbox: { post: () => resolve() }, message: 'over', delayMs });
  });
}

vitest.describe('FrontListener', () => {
  let tested: TestListener;
  let caller: testCaller.TestCaller;

  vitest.beforeEach(async () => {
    tested = new TestListener();
    await tested.listen();
    caller = await testCaller.TestCaller.connect(tested.getPort());
  });

  vitest.afterEach(() => {
    caller.socket.destroy();
    tested.listener.post({ type: 'close-listener' });
  });

  vitest.it('sends responses to pipelined requests in request order, even if a later one is ready first', async () => {
    caller.socket.write(buildRequest('q1') + buildRequest('q2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    const [first, second] = tested.listArrivals();
    tested.answer(second!.requestId, 'second');
    tested.answer(first!.requestId, 'first');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/first[^]*second$/));
    vitest.expect(caller.received).toContain('kept: 1');
  });

  vitest.it('forwards method, path, headers and a chunked body, but no hop-by-hop headers', async () => {
    caller.socket.write('PUT /x/1?q=%20 HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\nConnection: keep-alive, other\r\nother: 1\r\nMore: 2\r\n'
      + 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    const [arrival] = tested.listArrivals();
    vitest.expect(arrival).toMatchObject({
      method: 'PUT', path: '/x/1?q=%20', host: 'a', headers: ['request-id', 'q1', 'More', '2'],
    });
    vitest.expect(Buffer.concat([arrival!.body].flat()).toString()).toBe('abcde');
  });

  vitest.it('posts caller-gone for each open request of a connection that the caller closes', async () => {
    caller.socket.write(buildRequest('q1') + buildRequest('q2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    caller.socket.destroy();
    await vitest.vi.waitFor(() => vitest.expect(tested.messages.filter((message) => message.type === 'caller-gone')).toHaveLength(2));
    vitest.expect(tested.listener.countOpenRequests()).toBe(0);
  });

  vitest.it('refuses a request with both Content-Length and Transfer-Encoding, which would allow request smuggling', async () => {
    caller.socket.write('POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\ncontent-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/^HTTP\/1.1 400/));
    vitest.expect(tested.listArrivals()).toHaveLength(0);
  });

  // Each of these could be read differently by an instance, which would then see a second request in the first one.
  vitest.it.each([
    ['a space in a header name', 'X y: 1'],
    ['a space before the colon', 'X : 1'],
    ['a bare CR in a value', 'X: 1\r2'],
    ['a NUL in a value', 'X: 1\u00002'],
    ['a second Host', 'Host: b'],
    ['a second length', 'Content-Length: 7'],
    ['a folded header line', 'X: 1\r\n 2'],
  ])('refuses %s, does not pass the request on and closes the connection', async (_, line) => {
    let closed = false;
    caller.socket.once('close', () => {
      closed = true;
    });
    caller.socket.write(`POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\n${line}\r\ncontent-length: 0\r\n\r\n${buildRequest('q2')}`);
    await vitest.vi.waitFor(() => vitest.expect(closed, `received: ${caller.received}`).toBe(true));
    vitest.expect(caller.received).toMatch(/^HTTP\/1.1 400/);
    vitest.expect(tested.listArrivals()).toHaveLength(0);
  });

  vitest.it('keeps the incomplete bodies of all requests within the budget, and refuses the longest', async () => {
    tested.listener.post({
      type: 'limits-changed',
      limits: {
        headerBytes: 4_096, bodyBytes: 2 * BUFFER_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000,
      },
    });
    caller.socket.write(`POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\ncontent-length: ${BUFFER_BYTES * 2}\r\n\r\n${'x'.repeat(0.7 * BUFFER_BYTES)}`);
    const second = await testCaller.TestCaller.connect(tested.getPort());
    second.socket.write(`POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q2\r\ncontent-length: ${0.4 * BUFFER_BYTES}\r\n\r\n${'x'.repeat(0.4 * BUFFER_BYTES)}`);
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/^HTTP\/1.1 503[^]*overloaded/));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals().map((arrival) => arrival.callerRequestId)).toEqual(['q2']));
    second.socket.destroy();
  });

  vitest.it('answers 408 to a body that is incomplete at the deadline of its request', async () => {
    caller.socket.write('POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\ndeadline: 100\r\ncontent-length: 9\r\n\r\npart');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/^HTTP\/1.1 408/), { timeout: 5_000 });
    vitest.expect(tested.listArrivals()).toHaveLength(0);
  });

  // Guards against a planned stop that cuts off requests behind the one whose response closes the connection.
  vitest.it.each([['in order', [0, 1]], ['in reverse', [1, 0]]] as const)('answers all pipelined requests that it has read before it closes their connection (%s)', async (_, order) => {
    caller.socket.write(buildRequest('q1') + buildRequest('q2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    tested.listener.post({ type: 'drain' });
    order.forEach((index) => tested.answer(tested.listArrivals()[index]!.requestId, `answer ${index}`));
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/answer 0[^]*answer 1$/));
    vitest.expect(caller.received.match(/connection: close/gi)).toHaveLength(1);
  });

  vitest.it('does not read a request that follows a response which closes the connection', async () => {
    caller.socket.write(buildRequest('q1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.listener.post({ type: 'drain' });
    tested.answer(tested.listArrivals()[0]!.requestId, 'last');
    caller.socket.write(buildRequest('q2'));
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/last$/));
    vitest.expect(tested.listArrivals()).toHaveLength(1);
  });

  vitest.it('refuses a body longer than the configured limit', async () => {
    tested.listener.post({
      type: 'limits-changed',
      limits: {
        headerBytes: 4_096, bodyBytes: 4, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000,
      },
    });
    caller.socket.write(buildRequest('q1', 'five!'));
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/^HTTP\/1.1 413/));
    vitest.expect(tested.listArrivals()).toHaveLength(0);
  });

  vitest.it('sends the responses to requests in progress while it drains, with Connection: close', async () => {
    caller.socket.write(buildRequest('q1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.listener.post({ type: 'drain' });
    tested.listener.post({ type: 'close-listener' });
    tested.answer(tested.listArrivals()[0]!.requestId, 'late');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/connection: close[^]*late$/i));
  });

  vitest.it('counts a request as open until its caller has received the whole response, so that no exit of the process cuts it', async () => {
    caller.socket.pause();
    caller.socket.write(buildRequest('r1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.answer(tested.listArrivals()[0]!.requestId, 'x'.repeat(LONG_ANSWER_BYTES));
    vitest.expect(tested.listener.countOpenRequests()).toBe(1);
    caller.socket.resume();
    await vitest.vi.waitFor(() => vitest.expect(tested.listener.countOpenRequests()).toBe(0), 5_000);
  });

  // Guards against a planned stop that cuts answers which slow callers are still receiving.
  vitest.it('writes an answer to its end although the listener is closed meanwhile', async () => {
    caller.socket.pause();
    caller.socket.write(buildRequest('r1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.listener.post({ type: 'drain' });
    tested.answer(tested.listArrivals()[0]!.requestId, 'x'.repeat(LONG_ANSWER_BYTES));
    tested.listener.post({ type: 'close-listener' });
    vitest.expect(tested.listener.countOpenRequests()).toBe(1);
    caller.socket.resume();
    await vitest.vi.waitFor(() => vitest.expect(tested.listener.countOpenRequests()).toBe(0), 5_000);
    await vitest.vi.waitFor(() => vitest.expect(caller.received.length).toBeGreaterThan(LONG_ANSWER_BYTES), 5_000);
  });

  vitest.it('serves a kept connection after the listener is closed, and opens no new one', async () => {
    caller.socket.write(buildRequest('r1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.answer(tested.listArrivals()[0]!.requestId, 'first');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toContain('first'));
    tested.listener.post({ type: 'drain' });
    tested.listener.post({ type: 'close-listener' });
    caller.socket.write(buildRequest('r2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    tested.answer(tested.listArrivals()[1]!.requestId, 'second');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/connection: close[^]*second/i));
    await vitest.expect(testCaller.TestCaller.connect(tested.getPort())).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  });

  // Guards against the end of the process by answers that wait behind others, or for callers that read slowly.
  vitest.it('counts answers until they are written, also those behind others on a pipelined connection', async () => {
    caller.socket.write(buildRequest('r1') + buildRequest('r2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    const [first, second] = tested.listArrivals();
    tested.answer(second!.requestId, 'x'.repeat(50_000));
    await vitest.vi.waitFor(() => vitest.expect(tested.answerBudget.getHeldBytes()).toBe(50_000));
    tested.answer(first!.requestId, 'first');
    await vitest.vi.waitFor(() => vitest.expect(caller.received.length).toBeGreaterThan(50_000));
    await vitest.vi.waitFor(() => vitest.expect(tested.answerBudget.getHeldBytes()).toBe(0));
  });

  // Guards against responses that pile up behind one that is not ready: the requests count until their responses are written.
  vitest.it('refuses pipelined requests whose responses wait for an earlier one when they fill the budget, and then reads no more', async () => {
    const malformed = 'GET /x/ HTTP/1.1\r\nHost: a\r\n\r\n';
    caller.socket.write(buildRequest('q1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    caller.socket.write(malformed.repeat(1_000));
    caller.socket.write(buildRequest('q2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.events).toContain('request-refused'));
    tested.answer(tested.listArrivals()[0]!.requestId, 'first');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/first[^]*HTTP\/1.1 503/));
    vitest.expect(tested.listArrivals()).toHaveLength(1);
  });

  // Guards against answers that nobody reads and that take the memory of those that others wait for. Here the answer cannot be written
  // because the one before it is missing, which does not depend on the buffers of the sockets.
  vitest.it('closes a connection with an answer that stays unwritten while memory for answers is short', async () => {
    let closed = false;
    caller.socket.once('close', () => {
      closed = true;
    });
    caller.socket.write(buildRequest('r1') + buildRequest('r2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    tested.answer(tested.listArrivals()[1]!.requestId, 'x'.repeat(BUFFER_BYTES));
    await vitest.vi.waitFor(() => vitest.expect(closed).toBe(true), { timeout: 20_000 });
    vitest.expect(tested.events).toContain('connection-closed');
    await vitest.vi.waitFor(() => vitest.expect(tested.listener.countOpenRequests()).toBe(0));
    vitest.expect(tested.answerBudget.getHeldBytes()).toBe(0);
  });

  // Guards against answers that are held for good: Node.js reports no end of a response that waits for an earlier one.
  vitest.it('gives up the answers of a connection that closes, also those that wait for an earlier one', async () => {
    caller.socket.write(buildRequest('r1') + buildRequest('r2'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(2));
    tested.answer(tested.listArrivals()[1]!.requestId, 'second');
    await vitest.vi.waitFor(() => vitest.expect(tested.answerBudget.getHeldBytes()).toBe(6));
    caller.socket.destroy();
    await vitest.vi.waitFor(() => vitest.expect(tested.answerBudget.getHeldBytes()).toBe(0));
    vitest.expect(tested.listener.countOpenRequests()).toBe(0);
  });

  // Guards against connections that take all descriptors: what has made least progress is closed, and a request in progress never is.
  vitest.it('closes the oldest connection without a request when there are more than allowed', async () => {
    caller.socket.write(buildRequest('q1'));
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    let closedCount = 0;
    const crowd = await Promise.all(Array.from({ length: 2 * CONNECTIONS }, () => testCaller.TestCaller.connect(tested.getPort())));
    crowd.forEach((member) => member.socket.once('close', () => {
      closedCount += 1;
    }));
    await vitest.vi.waitFor(() => vitest.expect(tested.events.filter((event) => event === 'connection-closed')).toHaveLength(CONNECTIONS + 1));
    await vitest.vi.waitFor(() => vitest.expect(closedCount).toBe(CONNECTIONS + 1));
    tested.answer(tested.listArrivals()[0]!.requestId, 'first');
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/first$/));
    crowd.forEach((member) => member.socket.destroy());
  });

  vitest.it('closes connections with unfinished heads that take too much memory together', async () => {
    const crowd = await Promise.all(Array.from({ length: 60 }, () => testCaller.TestCaller.connect(tested.getPort())));
    crowd.forEach((member) => member.socket.write(UNFINISHED_HEAD));
    await vitest.vi.waitFor(() => {
      vitest.expect(tested.events.filter((event) => event === 'connection-closed').length).toBeGreaterThan(60 - HEADS_WITHIN_LIMIT - 1);
    }, { timeout: 5_000 });
    crowd.forEach((member) => member.socket.destroy());
  });

  // Guards against unfinished heads that hide behind a complete request. Their connections must not be closed once the request is at an
  // instance, so it is not passed on if there is no room for the head.
  vitest.it('refuses requests that arrive together with unfinished heads which take too much memory, and closes no connection of the others', async () => {
    const crowd = await Promise.all(Array.from({ length: 60 }, () => testCaller.TestCaller.connect(tested.getPort())));
    crowd.forEach((member, index) => member.socket.write(`${buildRequest(`q${index}`)}${UNFINISHED_HEAD}`));
    await vitest.vi.waitFor(() => {
      vitest.expect(tested.listArrivals().length + crowd.filter(({ received }) => /^HTTP\/1.1 503 [^]*connection: close/i.test(received)).length).toBe(60);
    }, { timeout: 5_000 });
    vitest.expect(tested.listArrivals().length).toBeLessThanOrEqual(HEADS_WITHIN_LIMIT);
    vitest.expect(tested.listArrivals().length).toBeGreaterThan(0);
    await waitFor(HEAD_CHECKS_MS);
    vitest.expect(tested.events).not.toContain('connection-closed');
    tested.listArrivals().forEach(({ requestId }) => tested.answer(requestId, 'done'));
    await vitest.vi.waitFor(() => vitest.expect(crowd.filter(({ received }) => received.endsWith('done'))).toHaveLength(tested.listArrivals().length));
    crowd.forEach((member) => member.socket.destroy());
  });

  vitest.describe('with requests at instances', () => {
    // Guards against losing the answer of work that was done: whatever a caller sends behind its request, or however many others there are,
    // the VM closes no connection with a request that was passed on.
    vitest.it.each([
      ['chunk extensions that the parser does not report', (id: string) => [buildChunkedRequest(id, ';chunk-signature='.padEnd(81, 'f'))]],
      ['spaces in its head and empty lines before it', (id: string) => [`\r\n\r\nPOST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id:${' '.repeat(9_000)}${id}\r\ncontent-length: 0\r\n\r\n`]],
      ['trailers', (id: string) => [`POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n${'a: 1\r\n'.repeat(500)}\r\n`]],
      ['the unfinished head of the next request', (id: string) => [buildRequest(id), UNFINISHED_HEAD]],
      ['an unreadable request', (id: string) => [buildRequest(id), 'no request\r\n\r\n']],
      ['a body that is never complete', (id: string) => [buildRequest(id), `POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: n${id}\r\ncontent-length: 900000\r\n\r\n${'x'.repeat(50_000)}`]],
    ] as const)('answers all of them after %s', async (_, buildParts) => {
      const big = new TestListener(20 * BUFFER_BYTES);
      await big.listen();
      const crowd = await Promise.all(Array.from({ length: 60 }, () => testCaller.TestCaller.connect(big.getPort())));
      crowd.forEach(({ socket }, index) => socket.write(buildParts(`q${index}`)[0]!));
      await vitest.vi.waitFor(() => vitest.expect(big.listArrivals()).toHaveLength(60), { timeout: 5_000 });
      // The following bytes arrive when the requests are at their instances.
      crowd.forEach(({ socket }, index) => buildParts(`q${index}`).slice(1).forEach((part) => socket.write(part)));
      await waitFor(HEAD_CHECKS_MS);
      vitest.expect(big.events).not.toContain('connection-closed');
      vitest.expect(big.messages.filter(({ type }) => type === 'caller-gone')).toEqual([]);
      big.listArrivals().forEach(({ requestId }) => big.answer(requestId, 'done'));
      await vitest.vi.waitFor(() => vitest.expect(crowd.filter(({ received }) => received.includes('done'))).toHaveLength(60), { timeout: 5_000 });
      crowd.forEach((member) => member.socket.destroy());
      big.listener.post({ type: 'close-listener' });
    });

    // Guards against connections that are never read again after the heads behind their requests were held back.
    vitest.it('reads on when the requests are answered, or the other heads are gone', async () => {
      const crowd = await Promise.all(Array.from({ length: 30 }, () => testCaller.TestCaller.connect(tested.getPort())));
      caller.socket.write(buildRequest('first'));
      crowd.forEach(({ socket }, index) => socket.write(buildRequest(`q${index}`)));
      await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(31));
      crowd.forEach(({ socket }) => socket.write(UNFINISHED_HEAD));
      await waitFor(HEAD_CHECKS_MS);
      caller.socket.write(buildRequest('second'));
      await waitFor(HEAD_CHECKS_MS);
      vitest.expect(tested.listArrivals()).toHaveLength(31);
      tested.listArrivals().forEach(({ requestId }) => tested.answer(requestId, 'done'));
      await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals().map(({ callerRequestId }) => callerRequestId)).toContain('second'), { timeout: 5_000 });
      crowd.forEach((member) => member.socket.destroy());
    });
  });

  vitest.it('passes a long body on in parts that have its content', async () => {
    const body = 'abcdefghij'.repeat(BUFFER_BYTES / 10);
    const long = new TestListener(4 * BUFFER_BYTES);
    await long.listen();
    long.listener.post({
      type: 'limits-changed',
      limits: {
        headerBytes: 4_096, bodyBytes: 4 * BUFFER_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 9_000,
      },
    });
    const sender = await testCaller.TestCaller.connect(long.getPort());
    sender.socket.write(buildRequest('q1', `${body}${body}`));
    await vitest.vi.waitFor(() => vitest.expect(long.listArrivals()).toHaveLength(1), { timeout: 5_000 });
    vitest.expect(Array.isArray(long.listArrivals()[0]!.body)).toBe(true);
    vitest.expect(Buffer.concat([long.listArrivals()[0]!.body].flat()).toString()).toBe(`${body}${body}`);
    sender.socket.destroy();
    long.listener.post({ type: 'close-listener' });
  });

  // Guards against fields that the parser drops: the request would be passed on without them.
  vitest.it('refuses a head with more fields than the parser keeps, and passes on one with fewer', async () => {
    const fields = (count: number): string => Array.from({ length: count }, (_, index) => `x${index}: 1\r\n`).join('');
    caller.socket.write(`GET /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\n${fields(1_000)}\r\n`);
    await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(1));
    tested.answer(tested.listArrivals()[0]!.requestId, 'first');
    caller.socket.write(`GET /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q2\r\n${fields(1_100)}\r\n`);
    await vitest.vi.waitFor(() => vitest.expect(caller.received).toMatch(/first[^]*HTTP\/1.1 431/));
    vitest.expect(tested.listArrivals()).toHaveLength(1);
  });

  // Guards against connections that are neither idle nor receiving, and fill the table for ever.
  vitest.it('closes a connection with an unreadable body although the client keeps its side open', async () => {
    const countSockets = (): number => process.getActiveResourcesInfo().filter((type) => type === 'TCPSocketWrap').length;
    const earlierSockets = countSockets();
    const socket = net.connect({ port: tested.getPort(), allowHalfOpen: true });
    socket.on('error', () => undefined).resume();
    socket.write('POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: q1\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n');
    await new Promise((resolve) => {
      socket.once('end', resolve);
    });
    // Only the socket of the client is left.
    await vitest.vi.waitFor(() => vitest.expect(countSockets()).toBe(earlierSockets + 1), { timeout: 3_000 });
    socket.destroy();
  });

  // Guards against connections that stay paused: reading stops for a moment after evictions, until what was given up is collected.
  vitest.it('reads all requests of a connection although bodies were given up before', async () => {
    caller.socket.write(`POST /x/ HTTP/1.1\r\nHost: a\r\nrequest-id: large\r\ncontent-length: 990000\r\n\r\n${'x'.repeat(980_000)}`);
    tested.measuredBytes = Infinity;
    const other = await testCaller.TestCaller.connect(tested.getPort());
    const body = 'x'.repeat(300_000);
    const ids = Array.from({ length: 40 }, (_, index) => `q${index}`);
    await ids.reduce(async (previous, id, index) => {
      await previous;
      other.socket.write(buildRequest(id, body));
      await vitest.vi.waitFor(() => vitest.expect(tested.listArrivals()).toHaveLength(index + 1), { timeout: 5_000, interval: 5 });
      tested.answer(tested.listArrivals()[index]!.requestId, id);
    }, Promise.resolve());
    await vitest.vi.waitFor(() => vitest.expect(other.received).toMatch(/q39$/));
    vitest.expect(tested.events).toContain('request-refused');
    other.socket.destroy();
  });
});
