// Clients that send bodies in chunks of one byte. Arguments: number of connections, then the addresses HOST:PORT that they use in turn.
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import process from 'node:process';

const CHUNKS = 10_000;
// 60,000,000 bytes of body, which is less than `max_body_bytes` (67,108,864).
const MAX_WRITES = 6_000;

const [count, ...addresses] = process.argv.slice(2);
const part = buffer.Buffer.from('1\r\nx\r\n'.repeat(CHUNKS));

Array.from({ length: Number(count) }).forEach((_, index) => {
  const [host, port] = addresses[index % addresses.length].split(':');
  const socket = net.connect(Number(port), host);
  let writes = 0;
  const writeParts = () => {
    while (!socket.destroyed && writes < MAX_WRITES) {
      writes += 1;
      if (!socket.write(part)) {
        socket.once('drain', writeParts);
        return;
      }
    }
  };
  socket.on('error', () => undefined);
  socket.write([
    'POST /orders/upload HTTP/1.1', 'Host: review.example', `X-Attempt-Id: crowd-${index}`, 'X-Deadline-Ms: 60000', 'Transfer-Encoding: chunked', '', '',
  ].join('\r\n'));
  writeParts();
});
