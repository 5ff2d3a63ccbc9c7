import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

import * as heapMeter from '../HeapMeter.js';
import * as testUpstreamDialect from '../TestUpstreamDialect.js';

const CHUNK_COUNT = 400_000;
const MOST_BYTES = 1_000_000;

vitest.describe('RoutedResponseReader', () => {
  // Guards against the end of the process by answers whose chunks cost many times their length.
  vitest.it('holds little more memory than an answer that comes in chunks of one byte', () => {
    const reader = new front.upstreams.RoutedResponseReader({
      method: 'GET', callerRequestId: 'q1', dialect: new testUpstreamDialect.TestUpstreamDialect(),
    });
    const meter = new heapMeter.HeapMeter();
    const read = Buffer.alloc(65_536, 'x');
    const before = meter.measureBytes();
    Array.from({ length: CHUNK_COUNT }).forEach(() => reader.readBodyChunk(read.subarray(0, 1)));
    vitest.expect(meter.measureBytes() - before).toBeLessThanOrEqual(MOST_BYTES);
    vitest.expect(reader.getHeldBytes()).toBeGreaterThanOrEqual(CHUNK_COUNT);
  });
});
