/** Collects one answer of an instance as it is received. */
export abstract class ReplyReader {
  /**
   * Takes the head of the answer.
   * @param status - Status code.
   * @param rawFields - Names and values of the header fields in turn.
   */
  abstract readHead(status: number, rawFields: readonly Buffer[]): void;

  /** Whether a head was received. */
  abstract hasHead(): boolean;

  /**
   * Takes a part of the body. The result tells whether the parts that are kept still fit the buffer.
   * @param chunk - Part of the body.
   */
  abstract readData(chunk: Buffer): 'buffered' | 'overflowed';

  /** Whether the answer, which has ended, is whole. */
  abstract isComplete(): boolean;

  /** Whether the connection may carry another request after this answer. */
  abstract isConnectionReusable(): boolean;
}
