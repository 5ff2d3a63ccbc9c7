import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

function record(tested: front.callers.ChunkPace, chunks: number, bytes: number, periodMs: number): readonly ('read' | 'pause')[] {
  return Array.from({ length: chunks }, (_, index) => tested.recordChunk(bytes, index * periodMs));
}

vitest.describe('ChunkPace', () => {
  // Guards against one connection whose bytes take all the work of the process.
  vitest.it('pauses a connection whose chunks come at once and are very short', () => {
    vitest.expect(record(new front.callers.ChunkPace(), 2_000, 1, 0)).toContain('pause');
    vitest.expect(record(new front.callers.ChunkPace(), 10_000, 30, 0.005)).toContain('pause');
  });

  // Guards against ordinary uploads that wait for a turn.
  vitest.it('reads on if the chunks are longer, few, or spread over time', () => {
    vitest.expect(record(new front.callers.ChunkPace(), 2_000, 100, 0)).not.toContain('pause');
    vitest.expect(record(new front.callers.ChunkPace(), 500, 1, 0)).not.toContain('pause');
    vitest.expect(record(new front.callers.ChunkPace(), 2_000, 1, 0.1)).not.toContain('pause');
  });
});
