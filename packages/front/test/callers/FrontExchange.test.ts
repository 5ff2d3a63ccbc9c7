import * as http from 'node:http';
import * as net from 'node:net';
import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

import * as heapMeter from '../HeapMeter.js';

const CHUNK_COUNT = 400_000;
const LIMIT_BYTES = 1_000_000;

vitest.describe('FrontExchange', () => {
  // Guards against the end of the process by bodies whose chunks cost many times their length.
  vitest.it('holds no more memory than the limit of a body that comes in chunks of one byte', () => {
    const request = new http.IncomingMessage(new net.Socket());
    const exchange = new front.callers.FrontExchange({
      request, response: new http.ServerResponse(request), arrivedAtMs: 0, onEvict: () => undefined,
    });
    const meter = new heapMeter.HeapMeter();
    const read = Buffer.alloc(65_536, 'x');
    const before = meter.measureBytes();
    Array.from({ length: CHUNK_COUNT }).forEach(() => exchange.addChunk(read.subarray(0, 1), LIMIT_BYTES));
    vitest.expect(meter.measureBytes() - before).toBeLessThanOrEqual(LIMIT_BYTES);
    vitest.expect(exchange.takeBody().length).toBe(CHUNK_COUNT);
  });
});
