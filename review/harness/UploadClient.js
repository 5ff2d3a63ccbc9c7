import * as net from 'node:net';

import * as clock from './clock.js';
import * as deployment from './Deployment.js';
import * as frontMachine from './FrontMachine.js';

const WRITTEN_CHUNKS = 2_000;

/** Client that sends a long body in chunks of one size. */
export class UploadClient {
  constructor(record, chunkBytes) {
    this.record = record;
    this.chunkBytes = chunkBytes;
  }

  /** Resolves to the status of the answer; 0 if the connection ended without one. */
  sendBody({
    host, path, id, bytes, deadlineMs,
  }) {
    return new Promise((resolve) => {
      const socket = net.connect(frontMachine.PORTS.front, host);
      const sentAtMs = clock.getNowMs();
      this.record.write(`sent     ${id} POST ${path} to ${host}, ${bytes} bytes in chunks of ${this.chunkBytes}`, sentAtMs);
      let left = bytes;
      let head = '';
      let state = 'open';
      const finish = (reason) => {
        if (state === 'ended') return;
        state = 'ended';
        socket.destroy();
        const status = Number(head.split(' ')[1] ?? 0);
        this.record.write(`answered ${id} ${status === 0 ? `nothing (${reason}), ${bytes - left} bytes sent` : status}`);
        resolve({ id, status });
      };
      const chunk = `${this.chunkBytes.toString(16)}\r\n${'x'.repeat(this.chunkBytes)}\r\n`;
      const writeNext = () => {
        while (left >= this.chunkBytes && state === 'open') {
          const count = Math.min(WRITTEN_CHUNKS, Math.floor(left / this.chunkBytes));
          left -= count * this.chunkBytes;
          if (!socket.write(chunk.repeat(count))) {
            socket.once('drain', writeNext);
            return;
          }
        }
        if (state === 'open') socket.write('0\r\n\r\n');
      };
      socket.write(`POST ${path} HTTP/1.1\r\nHost: ${deployment.HOST_NAME}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n`
        + 'Transfer-Encoding: chunked\r\n\r\n');
      writeNext();
      socket.on('data', (data) => {
        head += data.toString('latin1');
        if (head.includes('\r\n\r\n')) finish('answered');
      });
      socket.setTimeout(deadlineMs, () => finish('the client gave up'));
      socket.on('end', () => finish('the connection ended'));
      socket.on('error', (error) => finish(error.code));
    });
  }
}
