// A chunk of at least this length is kept as it was received. Shorter ones are copied into blocks, since a chunk of a few bytes would cost
// many times its length.
const MIN_KEPT_BYTES = 4_096;

// A chunk is part of the memory into which the socket was read, which is kept with it. It must be at least this part of it.
const MIN_KEPT_SHARE = 0.5;

// Cost of a buffer besides its content.
const BUFFER_OVERHEAD_BYTES = 200;
const MIN_BLOCK_BYTES = 4_096;
const MAX_BLOCK_BYTES = 64 * 1_024;

/** Buffers data that arrives in chunks of any length, and tells how much memory it holds. */
export class BlockBuffer {
  // All parts but the last block are full.
  private parts: Buffer[] = [];

  private block: Buffer | undefined;

  private blockLength = 0;

  private length = 0;

  /** Gets the length of the data. */
  getLength(): number {
    return this.length;
  }

  /**
   * Adds a chunk. Returns by how many bytes the memory has grown.
   * @param chunk - Chunk as received.
   */
  add(chunk: Buffer): number {
    this.length += chunk.length;
    // Most bodies are a single short chunk.
    const isFirst = this.block === undefined && this.parts.length === 0;
    if (isFirst && chunk.buffer.byteLength <= MIN_KEPT_BYTES) return this.pushPart(chunk);
    const copied = this.fillBlock(chunk);
    if (copied === chunk.length) return 0;
    const rest = chunk.subarray(copied);
    this.endBlock();
    if (rest.length >= MIN_KEPT_BYTES && rest.length >= rest.buffer.byteLength * MIN_KEPT_SHARE) return this.pushPart(rest);
    const grown = this.startBlock(rest.length);
    this.fillBlock(rest);
    return grown;
  }

  /** Joins the data and returns it. The buffer is empty afterwards. */
  take(): Buffer {
    this.endBlock();
    const { parts } = this;
    this.clear();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  /** Returns the data in parts, without a copy of it. The buffer is empty afterwards. */
  takeParts(): readonly Buffer[] {
    this.endBlock();
    const { parts } = this;
    this.clear();
    return parts;
  }

  /** Gives up the data. */
  clear(): void {
    this.parts = [];
    this.block = undefined;
    this.blockLength = 0;
    this.length = 0;
  }

  private pushPart(chunk: Buffer): number {
    this.parts.push(chunk);
    return chunk.buffer.byteLength + BUFFER_OVERHEAD_BYTES;
  }

  // Copies as much of the chunk as there is room for. Returns the number of bytes.
  private fillBlock(chunk: Buffer): number {
    if (this.block === undefined) return 0;
    const copied = chunk.copy(this.block, this.blockLength);
    this.blockLength += copied;
    return copied;
  }

  // Blocks grow with the data, so that a short body takes little memory and a long one few blocks.
  private startBlock(minBytes: number): number {
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.length));
    this.block = Buffer.allocUnsafeSlow(Math.max(bytes, minBytes));
    return this.block.length + BUFFER_OVERHEAD_BYTES;
  }

  private endBlock(): void {
    if (this.block !== undefined) this.parts.push(this.block.subarray(0, this.blockLength));
    this.block = undefined;
    this.blockLength = 0;
  }
}
