import * as buffer from 'node:buffer';
import * as http from 'node:http';

import * as clock from './clock.js';

// Error of a request whose client left before the answer.
export const GAVE_UP = 'the client gave up';

/** Client of the system. Each request has its own id and, unless an agent is given, its own connection. */
export class Client {
  constructor(record) {
    this.record = record;
    this.lastId = 0;
  }

  /** Sends a request and resolves to its answer; status 0 if the connection ended without one. */
  fetchAnswer({
    host, port, path, method = 'GET', headers, body, timeoutMs = 5_000, agent = false,
  }) {
    return new Promise((resolve) => {
      const sent = http.request({
        host, port, path, method, headers, agent, timeout: timeoutMs,
      }, (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', (error) => resolve({ status: 0, error: error.code }));
        response.on('end', () => resolve({ status: response.statusCode, headers: response.headers, body: buffer.Buffer.concat(chunks).toString('latin1') }));
      });
      sent.on('error', (error) => resolve({ status: 0, error: error.code }));
      sent.on('timeout', () => {
        resolve({ status: 0, error: GAVE_UP });
        sent.destroy();
      });
      sent.end(body);
    });
  }

  /** Sends a request of a client to a front address. */
  async sendRequest({
    host, port, hostName, path, method = 'POST', deadlineMs = 1_200, body = 'x', agent = false, name = '',
  }) {
    this.lastId += 1;
    const id = `q${name}${this.lastId}`;
    const sentAtMs = clock.getNowMs();
    this.record.write(`sent     ${id} ${method} ${path} to ${host}`, sentAtMs);
    const answer = await this.fetchAnswer({
      host,
      port,
      path,
      method,
      agent,
      body: method === 'GET' ? undefined : body,
      timeoutMs: deadlineMs + 500,
      headers: {
        Host: hostName, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs), ...method === 'GET' ? {} : { 'Content-Length': buffer.Buffer.byteLength(body) },
      },
    });
    const answeredAtMs = clock.getNowMs();
    this.record.write(`answered ${id} ${answer.status === 0 ? `nothing (${answer.error})` : `${answer.status} ${(answer.body ?? '').slice(0, 60)}`}`);
    return {
      id, sentAtMs, answeredAtMs, ...answer,
    };
  }
}
