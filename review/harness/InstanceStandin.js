import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as timers from 'node:timers';

import * as clock from './clock.js';

const QUEUE_LENGTH = 8;
const IDLE_TIMEOUT_MS = 10_000;

/** Stand-in for a sound instance: processes `slots` requests concurrently, queues a few more, and rejects what it does not run. */
export class InstanceStandin {
  constructor(options) {
    this.options = { slots: 4, workMs: 40, ...options };
    // Arrivals that it began to work on.
    this.runs = [];
    this.running = 0;
    this.waiting = [];
    this.server = http.createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS }, (request, response) => this.handleRequest(request, response));
  }

  listen(host) {
    return new Promise((resolve) => {
      this.server.listen(0, host, () => {
        this.address = `${host}:${this.server.address().port}`;
        resolve(this.address);
      });
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  buildEntry(state) {
    const { service, zone, slots } = this.options;
    return {
      address: this.address,
      info: {
        service, version: 'v1', zone, capacity: slots,
      },
      status: { state, seq_no: 1, warmup_left: '0ms' },
    };
  }

  handleRequest(request, response) {
    const { id } = this.options;
    const attemptId = request.headers['x-attempt-id'];
    request.resume();
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    if (request.headers['x-expect-instance'] !== id) {
      response.writeHead(421, { 'X-Instance-Id': id, 'X-Attempt-Id': attemptId, 'Content-Length': 0 }).end();
      return;
    }
    const job = { request, response, attemptId };
    if (this.running < this.options.slots) this.runJob(job);
    else if (this.waiting.length < QUEUE_LENGTH) this.waiting.push(job);
    else response.writeHead(503, { 'X-Not-Executed': '1', 'X-Attempt-Id': attemptId, 'Content-Length': 0 }).end();
  }

  runJob(job) {
    const { id, service, workMs } = this.options;
    if (job.response.destroyed) return;
    this.running += 1;
    const atMs = clock.getNowMs();
    this.runs.push({ attemptId: job.attemptId, atMs, path: job.request.url });
    this.options.record?.write(`run      ${job.attemptId} by ${id} of ${service}`, atMs);
    timers.setTimeout(() => {
      this.running -= 1;
      const text = `${id} ${service} ${job.attemptId}`;
      const body = text.padEnd(this.options.answerBytes ?? 0, '.');
      job.response.writeHead(200, {
        'X-Attempt-Id': job.attemptId,
        'X-Response-Seal': `seal.${job.attemptId}`,
        'X-Instance-Load': `${this.running},${this.waiting.length},${this.options.slots}`,
        'Content-Length': buffer.Buffer.byteLength(body),
      }).end(body);
      const next = this.waiting.shift();
      if (next !== undefined) this.runJob(next);
    }, workMs);
  }
}
