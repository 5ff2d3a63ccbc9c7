import * as net from 'node:net';

import * as clock from './clock.js';
import * as deployment from './Deployment.js';
import * as frontMachine from './FrontMachine.js';

/** Client that sends safe requests on one connection, at most `depth` of them before their answers, and reads as fast as these come. */
export class PipeliningClient {
  constructor(record, name, depth) {
    this.record = record;
    this.name = name;
    this.depth = depth;
  }

  /** Resolves to the number of complete answers when the last one is complete, the connection has ended or the client gives up. */
  sendRequests({
    host, paths, deadlineMs, giveUpMs,
  }) {
    return new Promise((resolve) => {
      const socket = net.connect(frontMachine.PORTS.front, host);
      const ids = paths.map((_, index) => `${this.name}${index + 1}`);
      let sent = 0;
      const sendNext = () => {
        const path = paths[sent];
        if (path === undefined) return;
        this.record.write(`sent     ${ids[sent]} GET ${path} to ${host}`);
        socket.write(`GET ${path} HTTP/1.1\r\nHost: ${deployment.HOST_NAME}\r\nX-Attempt-Id: ${ids[sent]}\r\nX-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
        sent += 1;
      };
      paths.slice(0, this.depth).forEach(() => sendNext());
      let head = '';
      let missing = 0;
      let complete = 0;
      let state = 'open';
      const finish = (reason) => {
        if (state === 'ended') return;
        state = 'ended';
        socket.destroy();
        this.record.write(`answered ${this.name}: ${complete} of ${paths.length} answers complete, ${reason}`);
        resolve({ complete, asked: paths.length, endedAtMs: clock.getNowMs() });
      };
      const receive = (chunk) => {
        if (missing > 0) {
          const taken = Math.min(missing, chunk.length);
          missing -= taken;
          if (missing > 0) return;
          complete += 1;
          sendNext();
          if (chunk.length > taken) receive(chunk.subarray(taken));
          return;
        }
        head += chunk.toString('latin1');
        const end = head.indexOf('\r\n\r\n');
        if (end < 0) return;
        const rest = chunk.subarray(chunk.length - (head.length - end - 4));
        missing = Number(/content-length: (\d+)/i.exec(head.slice(0, end))?.[1] ?? 0);
        head = '';
        if (missing === 0) {
          complete += 1;
          sendNext();
        }
        if (rest.length > 0) receive(rest);
      };
      socket.on('data', (chunk) => {
        receive(chunk);
        if (complete === paths.length) finish('all answered');
      });
      socket.setTimeout(giveUpMs, () => finish('the client gave up'));
      socket.on('end', () => finish('the connection ended'));
      socket.on('error', (error) => finish(error.code));
    });
  }
}
