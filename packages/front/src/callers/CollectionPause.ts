// Bytes of bodies that are read between two measurements.
const MEASURED_BYTES = 4_194_304;

// Time after an eviction for which there may be data that was given up and is not collected.
const PRESSURE_MS = 1_000;

/**
 * Decides when to stop reading bodies, so that the runtime can collect what was given up. Addresses a crowd that sends large bodies: within
 * one turn of the event loop, 300 connections bring about 20 MB, and the runtime collects buffers only after some turns.
 */
export class CollectionPause {
  private readBytes = 0;

  private evictedAtMs = -Infinity;

  /**
   * @param limitBytes - Memory of buffers that are not held by a request or an answer from which on reading stops.
   * @param measureBytes - Measures the memory of all buffers of the process.
   */
  constructor(private readonly limitBytes: number, private readonly measureBytes = (): number => process.memoryUsage().arrayBuffers) {}

  /**
   * Records that a body was given up.
   * @param nowMs - Time of the eviction.
   */
  recordEviction(nowMs: number): void {
    this.evictedAtMs = nowMs;
  }

  /**
   * Records that a part of a body was read. Returns `pause` if no more should be read for now.
   * @param bytes - Length of the part.
   * @param heldBytes - Memory that requests and answers hold.
   * @param nowMs - Time of the read.
   */
  recordRead(bytes: number, heldBytes: number, nowMs: number): 'read' | 'pause' {
    if (nowMs - this.evictedAtMs > PRESSURE_MS) return 'read';
    this.readBytes += bytes;
    if (this.readBytes < MEASURED_BYTES) return 'read';
    this.readBytes = 0;
    return this.isCollected(heldBytes) ? 'read' : 'pause';
  }

  /**
   * Whether little enough is left to be collected.
   * @param heldBytes - Memory that requests and answers hold.
   */
  isCollected(heldBytes: number): boolean {
    return this.measureBytes() - heldBytes <= this.limitBytes;
  }
}
