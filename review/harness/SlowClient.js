import * as net from 'node:net';
import * as timers from 'node:timers';

import * as clock from './clock.js';
import * as deployment from './Deployment.js';
import * as frontMachine from './FrontMachine.js';

const STEP_MS = 2;

/** Client behind a link of limited bandwidth: reads the answer to a request at a limited rate. */
export class SlowClient {
  constructor(record, bytesPerMs) {
    this.record = record;
    this.bytesPerMs = bytesPerMs;
  }

  /** Sends a GET request on a new connection and resolves when the answer is complete or the connection has ended. */
  fetchAnswer({
    host, id, path, deadlineMs, giveUpMs,
  }) {
    return new Promise((resolve) => {
      const socket = net.connect(frontMachine.PORTS.front, host);
      const sentAtMs = clock.getNowMs();
      this.record.write(`sent     ${id} GET ${path} to ${host}`, sentAtMs);
      socket.write(`GET ${path} HTTP/1.1\r\nHost: ${deployment.HOST_NAME}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
      let received = 0;
      let head = '';
      let expected;
      let startedAtMs;
      let timer;
      let state = 'open';
      const isAhead = () => received > (clock.getNowMs() - startedAtMs) * this.bytesPerMs;
      const finish = (reason) => {
        if (state === 'ended') return;
        state = 'ended';
        timers.clearInterval(timer);
        socket.destroy();
        const status = Number(head.split(' ')[1] ?? 0);
        this.record.write(`answered ${id} status ${status}, ${received} of ${expected ?? 'an unknown number of'} bytes: ${reason}`);
        resolve({
          id, status, received, complete: received === expected, endedAtMs: clock.getNowMs(),
        });
      };
      socket.on('data', (chunk) => {
        startedAtMs ??= clock.getNowMs();
        if (expected === undefined) {
          head += chunk.toString('latin1');
          const bodyStart = head.indexOf('\r\n\r\n');
          if (bodyStart >= 0) expected = bodyStart + 4 + Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        }
        received += chunk.length;
        if (received === expected) finish('complete');
        else if (isAhead()) socket.pause();
      });
      timer = timers.setInterval(() => {
        if (startedAtMs !== undefined && !isAhead()) socket.resume();
        if (clock.getNowMs() - sentAtMs > giveUpMs) finish('the client gave up');
      }, STEP_MS);
      socket.on('end', () => finish('the connection ended'));
      socket.on('error', (error) => finish(error.code));
    });
  }
}
