import type * as http from 'node:http';

import type * as frontExchange from './FrontExchange.js';

const MAX_ESTIMATION_ERROR = 512;

/** Estimated length of a request on the wire, in bytes. */
export interface WireLength {
  /** Length of the body and of the framing of its chunks. */
  readonly bodyBytes: number;
  /** Length of the whole request. */
  readonly totalBytes: number;
}

/** Connection of a caller with its requests that have no response yet. Responses are sent in the order of the requests. */
export class CallerConnection {
  /** Ids of the requests that were passed on and have no response yet. */
  readonly requestIds = new Set<string>();

  /** Requests whose bodies are being received. */
  readonly receiving = new Set<frontExchange.FrontExchange>();

  /** Number of names and values of fields that the parser keeps of a head. */
  maxFieldTexts = Infinity;

  /** Responses that were sent and are not written completely. */
  readonly responses = new Set<http.ServerResponse>();

  // Requests whose response is not written yet.
  private openRequests = 0;

  // Bytes of the connection that belong to requests which were read completely, as far as is known.
  private parsedBytes = 0;

  // All bytes that had been read when the latest request was complete.
  private completeAtBytes = 0;

  // Numbers of bytes that had been read at the latest event of a request, and at the one before it that saw fewer.
  private latestReadBytes = 0;

  private previousReadBytes = 0;

  private newest: frontExchange.FrontExchange | undefined;

  private state: 'open' | 'closing' = 'open';

  /**
   * Records that the head of a request is complete.
   * @param readBytes - Number of bytes that were read from the connection.
   */
  beginRequest(readBytes: number): void {
    this.openRequests += 1;
    this.recordRead(readBytes);
  }

  /** Records that a response is written. Returns `idle` if it was the last one. */
  endRequest(): 'idle' | 'busy' {
    this.openRequests -= 1;
    return this.openRequests === 0 ? 'idle' : 'busy';
  }

  /**
   * Whether the connection may be closed although its caller has not asked for it: no request on it was passed on or is being answered.
   * An instance may be working on a request that was passed on, and closing the connection would lose its answer.
   */
  isClosable(): boolean {
    return this.openRequests === this.receiving.size;
  }

  /** Whether responses to other requests than the newest are not written yet. */
  isPipelined(): boolean {
    return this.openRequests > 1;
  }

  /**
   * Records that a request was read completely.
   * @param length - Its length on the wire, estimated.
   * @param readBytes - Number of bytes that were read from the connection.
   */
  recordParsed(length: WireLength, readBytes: number): void {
    this.recordRead(readBytes);
    // What follows the request was read with its end. The estimate leaves out what the parser does not report, such as chunk extensions;
    // without the second bound, that of all requests would add up.
    const restBytes = Math.min(readBytes - this.parsedBytes - length.totalBytes, readBytes - this.previousReadBytes - length.bodyBytes);
    this.parsedBytes = restBytes > MAX_ESTIMATION_ERROR ? readBytes - restBytes : readBytes;
    this.completeAtBytes = readBytes;
  }

  /**
   * Estimates the length of the head of the next request, or of the trailers of a request that is being received, as far as it was read.
   * The parser holds it. Bytes that the parser does not report are taken for a head, so the estimate may be too high.
   * @param readBytes - Number of bytes that were read from the connection.
   */
  estimateNextHeadBytes(readBytes: number): number {
    if (this.state === 'closing') return 0;
    const unparsedBytes = readBytes - this.parsedBytes;
    if (this.receiving.size === 0) return unparsedBytes;
    const receivedBytes = [...this.receiving].reduce((sum, exchange) => sum + exchange.estimateWireLength().totalBytes, 0);
    return Math.max(0, unparsedBytes - receivedBytes - MAX_ESTIMATION_ERROR);
  }

  /**
   * Estimates the same for what was read since the latest request was complete. What was read before is counted with that request.
   * @param readBytes - Number of bytes that were read from the connection.
   */
  estimateGrownHeadBytes(readBytes: number): number {
    return Math.min(readBytes - this.completeAtBytes, this.estimateNextHeadBytes(readBytes));
  }

  private recordRead(readBytes: number): void {
    if (readBytes === this.latestReadBytes) return;
    this.previousReadBytes = this.latestReadBytes;
    this.latestReadBytes = readBytes;
  }

  /**
   * Records a request. Returns false if the connection closes after the response to an earlier one: the caller then sends the request again
   * on another connection, so it must not be read here.
   * @param exchange - Request whose headers were received.
   */
  accept(exchange: frontExchange.FrontExchange): boolean {
    if (this.state === 'closing') return false;
    this.newest = exchange;
    return true;
  }

  /**
   * Decides what happens to the connection after the response to a request. Only the newest request may close it, since the responses to
   * later ones would be lost.
   * @param exchange - Request that is answered.
   * @param wanted - `close` if the connection should not carry further requests.
   */
  decideAfter(exchange: frontExchange.FrontExchange, wanted: 'keep' | 'close'): 'keep' | 'close' {
    if (wanted === 'keep' || exchange !== this.newest) return 'keep';
    this.state = 'closing';
    return 'close';
  }
}
