/** Reads one HTTP response of an instance while it is received, and decides whether it is complete. */
export abstract class ResponseReader {
  /**
   * Reads the status code and the headers of the response.
   * @param status - Status code.
   * @param rawHeaders - Names and values of the headers alternately.
   */
  abstract readHeaders(status: number, rawHeaders: readonly Buffer[]): void;

  /** Whether the headers of the response were received. */
  abstract hasHeaders(): boolean;

  /** Whether the response can belong to the request, as far as its headers show. The exchange of another one ends before its body. */
  isUsable(): boolean {
    return true;
  }

  /**
   * Reads a chunk of the body. Returns `overflowed` if the body received so far exceeds the size limit of the reader.
   * @param chunk - Chunk of the body.
   */
  abstract readBodyChunk(chunk: Buffer): 'buffered' | 'overflowed';

  /** Whether the response is complete. Called after its end. */
  abstract isComplete(): boolean;

  /** Whether the connection may carry another request after this response. */
  abstract isConnectionReusable(): boolean;
}
