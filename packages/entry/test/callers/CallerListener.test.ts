import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as undici from 'undici';
import * as vitest from 'vitest';

import * as recordingMailbox from '../vms/RecordingMailbox.js';

const LIMITS = { bodyBytes: 1_000, headerTimeoutMs: 300, idleTimeoutMs: 300 };

const OPTIONS = {
  host: '127.0.0.1',
  port: 0,
  limits: LIMITS,
  scheduler: new core.tasks.TaskScheduler(),
  timers: new core.time.SystemTimerService(),
  random: new core.randomness.SeededRandomSource(1),
};

vitest.describe('CallerListener', () => {
  const vm = new recordingMailbox.RecordingMailbox<core.vms.VmInput>();
  const connections = new recordingMailbox.RecordingMailbox<entry.upstreams.ConnectionMessage>();
  const listener = new entry.callers.CallerListener({ ...OPTIONS, vm, connections });
  let port = 0;

  vitest.beforeAll(async () => {
    port = (await listener.listen())._unsafeUnwrap();
  });
  vitest.beforeEach(() => {
    vm.messages.length = 0;
    connections.messages.length = 0;
  });
  vitest.afterAll(() => listener.close());

  /** Sends text on a new connection and resolves to the data received until the listener closes the connection. */
  function sendRaw(text: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
      let received = '';
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(received));
    });
  }

  async function sendRequest(headers: Record<string, string>, path = '/orders/status', body?: string) {
    const response = await undici.request(`http://127.0.0.1:${port}${path}`, { method: body === undefined ? 'GET' : 'POST', headers, body: body ?? null });
    await response.body.dump();
    return { status: response.statusCode, outcome: response.headers['tamarack-outcome'], reason: response.headers['tamarack-reason'] };
  }

  vitest.it.each([
    ['text that is not HTTP', 'hello\r\n\r\n', 400],
    ['a space in a header name', 'GET /orders HTTP/1.1\r\nHost: a\r\nX y: 1\r\n\r\n', 400],
    ['content-length together with transfer-encoding', 'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', 400],
    ['two content-length headers', 'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc', 400],
    ['an invalid chunk size', 'POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', 400],
    ['a header section above the limit', `GET /orders HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`, 431],
    ['a connection without a request', '', 408],
    ['an incomplete header section', 'GET /orders HTTP/1.1\r\nHo', 408],
  ])('responds to %s with a problem document and closes the connection (guards against request smuggling and connections kept open without a request)', async (_, text, status) => {
    const received = await sendRaw(text);
    vitest.expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    vitest.expect(received).toContain('application/problem+json');
    vitest.expect(vm.messages).toEqual([]);
  });

  vitest.it('responds to a request that cannot be parsed with the outcome unknown (guards against the outcome not-run for an operation that may have run)', async () => {
    vitest.expect(await sendRaw('GET /o HTTP/1.1\r\nHost: a\r\ntamarack-operation-id: 1\r\nX y: 1\r\n\r\n')).toContain('tamarack-outcome: unknown');
  });

  vitest.it.each([
    ['/orders/../-/status', {}, undefined, 400, 'path-invalid'],
    ['/orders/%2e%2E/x', {}, undefined, 400, 'path-invalid'],
    ['/orders/status', { 'tamarack-deadline-ms': '1e3' }, undefined, 400, 'deadline-invalid'],
    ['/orders/status', {}, 'x'.repeat(1_001), 413, 'body-too-large'],
    ['/-/secrets', {}, undefined, 404, 'unknown-page'],
  ])('refuses %s with the outcome not-run without an operation id and unknown with one (guards against the outcome not-run for an operation that may have run)', async (path, headers, body, status, reason) => {
    const received = await sendRaw([
      `${body === undefined ? 'GET' : 'POST'} ${path} HTTP/1.1`, 'Host: a', 'connection: close', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...body === undefined ? [] : [`content-length: ${body.length}`], '', body ?? '',
    ].join('\r\n'));
    vitest.expect(received).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    vitest.expect(received).toContain(`tamarack-reason: ${reason}`);
    vitest.expect(received).toContain('tamarack-outcome: not-run');
    if (!path.includes('.') && !path.includes('%')) {
      vitest.expect(await sendRequest({ ...headers, 'tamarack-operation-id': 'vm-1.i.1.n' }, path, body)).toEqual({ status, outcome: 'unknown', reason });
    }
    vitest.expect(vm.messages).toEqual([]);
  });

  vitest.it('refuses a chunked body above the limit (guards against a limit that is checked only by content-length)', async () => {
    const chunk = `3E8\r\n${'x'.repeat(1_000)}\r\n`;
    const received = await sendRaw(`POST /orders HTTP/1.1\r\nHost: a\r\nconnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}${chunk}0\r\n\r\n`);
    vitest.expect(received).toMatch(/^HTTP\/1.1 413 /);
    vitest.expect(vm.messages).toEqual([]);
  });

  vitest.it('passes headers, operation id and digest to the VM without hop-by-hop headers (guards against hop-by-hop headers that are forwarded)', async () => {
    const response = sendRequest({
      'tamarack-member': 'museum', 'tamarack-operation-id': 'vm-1.i.1.n', 'x-trace': '7', connection: 'close', te: 'trailers',
    }, '/orders/a/b?c=1', 'text');
    const { requestId, request } = await vm.waitFor('caller-request');
    vitest.expect(request).toMatchObject({
      service: 'orders', method: 'POST', path: '/a/b?c=1', member: 'museum', operationId: 'vm-1.i.1.n', headers: [['x-trace', '7']], deadlineMs: undefined,
    });
    vitest.expect(request.digest).toBe(crypto.createHash('sha256').update('POST /a/b?c=1\ntext').digest('hex'));
    listener.post({
      type: 'caller-answer',
      requestId,
      outcome: {
        type: 'not-run', reason: 'operation-id-required', retryAfterMs: 1_500, operationPrefix: 'p',
      },
    });
    vitest.expect(await response).toEqual({ status: 428, outcome: 'not-run', reason: 'operation-id-required' });
  });

  vitest.it('notifies the VM when a caller closes its connection (guards against work for callers that disconnected)', async () => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write('GET /orders/x HTTP/1.1\r\nHost: a\r\n\r\n'));
    const { requestId } = await vm.waitFor('caller-request');
    socket.destroy();
    vitest.expect((await vm.waitFor('caller-gone')).requestId).toBe(requestId);
  });

  vitest.it('checks member keys for requests and evidence queries (guards against evidence that is disclosed to another member)', async () => {
    vitest.expect(await sendRequest({}, '/-/evidence?member=museum')).toMatchObject({ status: 503, reason: 'no-configuration' });
    const keyDigest = crypto.createHash('sha256').update('secret').digest('hex');
    listener.post({
      type: 'document-accepted',
      reference: { version: 1, digest: '' },
      members: [{
        name: 'museum', counting: 'weighted-on-time', share: 1, keyDigest,
      }],
    });
    const invalidKeyResponse = { status: 403, outcome: 'not-run', reason: 'member-key-invalid' };
    vitest.expect(await sendRequest({}, '/-/evidence?member=museum')).toEqual(invalidKeyResponse);
    vitest.expect(await sendRequest({ 'tamarack-member-key': 'secret' }, '/-/evidence?member=other')).toEqual(invalidKeyResponse);
    vitest.expect(await sendRequest({ 'tamarack-member': 'museum', 'tamarack-member-key': 'wrong' })).toEqual(invalidKeyResponse);
    const report = sendRequest({ 'tamarack-member-key': 'secret' }, '/-/evidence?member=museum');
    listener.post({ type: 'evidence-answer', queryId: (await vm.waitFor('evidence-query')).queryId, report: undefined });
    vitest.expect((await report).status).toBe(404);
  });

  vitest.it.each(['stream-ended', 'stream-aborted'] as const)('resets the connection after stream-aborted but not after stream-ended, case %s (guards against an incomplete answer that looks complete)', async (ending) => {
    const received = sendRaw('GET /orders/x HTTP/1.0\r\n\r\n');
    const { requestId } = await vm.waitFor('caller-request');
    let connectionState: 'open' | 'reset' = 'open';
    const streamSocket = net.connect(port, '127.0.0.1', () => streamSocket.write('GET /orders/y HTTP/1.1\r\nHost: a\r\n\r\n'));
    streamSocket.on('error', () => {
      connectionState = 'reset';
    });
    const streamedRequest = await vm.waitFor('caller-request', 2);
    listener.post({
      type: 'stream-started', requestId: streamedRequest.requestId, attemptId: 't', status: 200, headers: [['content-length', '6']],
    });
    listener.post({ type: 'stream-data', requestId: streamedRequest.requestId, data: Buffer.from('abc') });
    await connections.waitFor('stream-ready');
    if (ending === 'stream-ended') listener.post({ type: 'stream-data', requestId: streamedRequest.requestId, data: Buffer.from('def') });
    listener.post({ type: ending, requestId: streamedRequest.requestId });
    listener.post({ type: 'caller-answer', requestId, outcome: { type: 'unknown', reason: 'upstream-reset' } });
    vitest.expect(await received).toContain('tamarack-outcome: unknown');
    if (ending === 'stream-aborted') await vitest.vi.waitFor(() => vitest.expect(connectionState).toBe('reset'), { timeout: 20_000 });
    else vitest.expect(connectionState).toBe('open');
    streamSocket.destroy();
  });

  vitest.it('closes while connections without a complete request are open (guards against a shutdown that never ends)', async () => {
    const otherListener = new entry.callers.CallerListener({ ...OPTIONS, vm, connections });
    const otherPort = (await otherListener.listen())._unsafeUnwrap();
    const texts = ['', 'GET /orders HTTP/1.1\r\nHo', 'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab'];
    const sockets = await Promise.all(texts.map((text) => new Promise<net.Socket>((resolve) => {
      const socket = net.connect(otherPort, '127.0.0.1', () => socket.write(text, () => resolve(socket)));
      socket.on('error', () => undefined);
    })));
    await otherListener.close();
    sockets.forEach((socket) => socket.destroy());
  });
});
