/* eslint-disable no-await-in-loop -- the steps of a case follow each other in time */
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import process from 'node:process';
import * as timers from 'node:timers/promises';

import * as deploymentModule from '../harness-2/Deployment.mjs';
import * as instanceStandin from '../harness-2/InstanceStandin.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const CLIENTS = 400;
const WORK_MS = 400;
const ROUNDS = 3;
// A body of 12,000 bytes in 120 chunks. With an extension as signed uploads have it, each chunk has 81 bytes more.
const CHUNKS = 120;
const CHUNK_BYTES = 100;
const EXTENSION = `;chunk-signature=${'0123456789abcdef'.repeat(4)}`;
const LOST_LIMIT = 3;
const DEADLINE_MS = 8_000;

const deployment = new deploymentModule.Deployment({ caseFolder: import.meta.dirname, vmCount: 1 });
const running = new Set();
const instances = Array.from({ length: 20 }, (_, index) => new instanceStandin.InstanceStandin({
  id: `i-${index + 1}`,
  service: 'orders',
  slots: 40,
  workMs: WORK_MS,
  onRun: (request, { options: { id } }) => {
    running.add(request.id);
    deployment.record(`${id} runs ${request.id}, ${request.body.length} bytes`);
  },
}));
await Promise.all(instances.map((instance) => deployment.startInstance(instance)));
deployment.publishConfiguration(1, {
  orders: {
    prefix: '/orders/', kind: 'unsafe', service: 'orders', timeout: `${DEADLINE_MS}ms`, target_latency: '4000ms',
  },
});
await deployment.start();
await timers.setTimeout(3_500);

const outcomes = new Map();

function buildRequest(id, extension) {
  const chunk = `${CHUNK_BYTES.toString(16)}${extension}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
  return [
    'POST /orders/new HTTP/1.1', 'Host: review.example', `X-Attempt-Id: ${id}`, `X-Deadline-Ms: ${DEADLINE_MS}`, 'Transfer-Encoding: chunked', '',
    `${chunk.repeat(CHUNKS)}0`, '', '',
  ].join('\r\n');
}

// A client with a kept connection, which sends one request after the other.
class Client {
  constructor(index) {
    this.index = index;
    this.text = '';
    this.pending = undefined;
    this.socket = net.connect(deployment.port + 10, deployment.hosts[0]);
    this.socket.on('error', () => undefined);
    this.socket.on('data', (data) => {
      this.text += data.toString('latin1');
      const match = /^HTTP\/1\.1 (\d+)[^]*?\r\n\r\n/.exec(this.text);
      if (match !== null && (match[1] !== '200' || this.text.endsWith('done'))) this.endRequest(`answered ${match[1]}`);
    });
    this.socket.on('close', () => this.endRequest('closed without an answer'));
  }

  endRequest(outcome) {
    if (this.pending === undefined) return;
    outcomes.set(this.pending, outcome);
    deployment.record(`${this.pending} ${outcome}`);
    this.pending = undefined;
    this.text = '';
  }

  sendRequest(round) {
    if (this.socket.destroyed || this.pending !== undefined) return;
    this.pending = `order-${this.index}-${round}`;
    this.socket.write(buffer.Buffer.from(buildRequest(this.pending, TROUBLE ? EXTENSION : '')));
  }
}

const clients = [];
for (let index = 0; index < CLIENTS; index += 1) {
  clients.push(new Client(index));
  if (index % 10 === 9) await timers.setTimeout(10);
}
for (let round = 1; round <= ROUNDS; round += 1) {
  deployment.record(`round ${round}: each client sends a request on its connection`);
  for (let first = 0; first < CLIENTS; first += 10) {
    clients.slice(first, first + 10).forEach((client) => client.sendRequest(round));
    await timers.setTimeout(10);
  }
  await timers.setTimeout(WORK_MS + 2_500);
}
const lost = [...outcomes].filter(([id, outcome]) => running.has(id) && outcome === 'closed without an answer');
deployment.record(`of ${outcomes.size} requests ${[...outcomes.values()].filter((outcome) => outcome === 'answered 200').length} were answered with 200; `
  + `${lost.length} were passed on to an instance, and their connection was closed without an answer`);
deployment.finish(lost.length > LOST_LIMIT ? 1 : 0);
