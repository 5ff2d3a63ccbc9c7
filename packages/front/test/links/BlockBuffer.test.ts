import * as front from '@tamarackferry/front';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';

// Memory for the data, besides a last block that is not full.
const MAX_COST_SHARE = 2.1;
const LAST_BLOCK_BYTES = 70_000;

vitest.describe('BlockBuffer', () => {
  vitest.it('returns the data of chunks of any length', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({ min: 0, max: 9_000 }), { maxLength: 60 }), (lengths) => {
      const buffer = new front.links.BlockBuffer();
      const chunks = lengths.map((length, index) => Buffer.alloc(length, index));
      chunks.forEach((chunk) => buffer.add(chunk));
      vitest.expect(buffer.getLength()).toBe(Buffer.concat(chunks).length);
      vitest.expect(buffer.take().equals(Buffer.concat(chunks))).toBe(true);
    }), { seed: 7, numRuns: 200 });
  });

  // Guards against the end of the process by chunks that cost many times their length.
  vitest.it.each([1, 32, 500, 4_095, 4_096, 64_000])('holds little more memory than data that comes in chunks of %i bytes, and tells how much', (bytes) => {
    const buffer = new front.links.BlockBuffer();
    // Chunks are parts of the memory into which the socket was read.
    const read = Buffer.alloc(65_536);
    const count = Math.ceil(1_000_000 / bytes);
    const before = process.memoryUsage();
    const heldBytes = Array.from({ length: count }, () => buffer.add(read.subarray(0, bytes))).reduce((sum, grown) => sum + grown, 0);
    const after = process.memoryUsage();
    vitest.expect(heldBytes).toBeGreaterThanOrEqual(after.arrayBuffers - before.arrayBuffers);
    vitest.expect(heldBytes).toBeLessThanOrEqual(count * bytes * MAX_COST_SHARE + LAST_BLOCK_BYTES);
  });
});
