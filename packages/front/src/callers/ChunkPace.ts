// The work for a chunk hardly depends on its length, so that a read of 64 KiB costs up to thousands of times that of a long chunk. A caller
// that sends this many chunks, shorter than this on average, within this time is read in turns.
const MAX_SHORT_CHUNKS = 512;
const SHORT_CHUNK_BYTES = 64;
const WINDOW_MS = 10;

/** Decides whether the chunks of one connection cost so much work that other callers must get their turn before more is read. */
export class ChunkPace {
  private startedAtMs = -Infinity;

  private chunks = 0;

  private bytes = 0;

  /**
   * Records a chunk of a body. Returns `pause` if no more is to be read from the connection for now.
   * @param bytes - Length of the chunk.
   * @param nowMs - Current time.
   */
  recordChunk(bytes: number, nowMs: number): 'read' | 'pause' {
    if (nowMs - this.startedAtMs > WINDOW_MS) {
      this.startedAtMs = nowMs;
      this.chunks = 0;
      this.bytes = 0;
    }
    this.chunks += 1;
    this.bytes += bytes;
    return this.chunks > MAX_SHORT_CHUNKS && this.bytes < this.chunks * SHORT_CHUNK_BYTES ? 'pause' : 'read';
  }
}
