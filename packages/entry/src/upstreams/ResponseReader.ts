/** Reads one HTTP answer of an instance while it is received, and decides whether it is complete. */
export abstract class ResponseReader {
  /**
   * Reads the head of the answer: its status code and headers.
   * @param status - Status code.
   * @param rawFields - Names and values of the headers alternately.
   */
  abstract readHeaders(status: number, rawFields: readonly Buffer[]): void;

  /** Whether the head of the answer was received. */
  abstract hasHeaders(): boolean;

  /**
   * Reads a chunk of the body. Returns `overflowed` if the body received so far exceeds the size limit of the reader.
   * @param chunk - Chunk of the body.
   */
  abstract readBodyChunk(chunk: Buffer): 'buffered' | 'overflowed';

  /** Whether the answer is complete. Called after its end. */
  abstract isComplete(): boolean;

  /** Whether the connection may carry another request after this answer. */
  abstract isConnectionReusable(): boolean;
}
