import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

import * as links from '../links/index.js';
import * as responseReader from './ResponseReader.js';

const NOT_RUN_REASONS = ['shed', 'draining', 'cancelled'] as const;
const SHA256_DIGEST_PATTERN = /(?:^|[\s,])sha-256=:([A-Za-z0-9+/=]+):/;

/** Options of an `AnswerReader`. */
export interface BufferedResponseReaderOptions {
  readonly method: string;
  /** Request id that the instance returns in `tamarack-request-id`, if the contract promises this. */
  readonly requestId: string;
  /** Properties of the answers that the service guarantees; undefined if it guarantees none. */
  readonly contract: core.contracts.ServiceContract | undefined;
  /** Greatest size of the body that is still reported as buffered, in bytes. */
  readonly maxBufferedBytes: number;
}

/** Values of the `tamarack-` headers of an answer, as far as the contract allows them to be used. */
export interface ResponseMetadata {
  /** Result of comparing the returned request id; `absent` if the contract does not promise that it is returned. */
  readonly echo: 'matched' | 'mismatched' | 'absent';
  /** Reason why the instance did not run the request; undefined if it does not state that it did not run it. */
  readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
  /** `leaving` if the instance announces that it will stop serving requests. */
  readonly drain: 'leaving' | undefined;
  /** Load that the instance reports about itself. */
  readonly load: number | undefined;
}

/** Buffers one answer and checks that it is complete and belongs to its request. */
export class BufferedResponseReader extends responseReader.ResponseReader {
  private status = 0;

  private readonly headerFields = new Map<string, readonly string[]>();

  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  private readonly bodyHash: crypto.Hash | undefined;

  /** @param options - Request that the answer belongs to, and the contract of its service. */
  constructor(private readonly options: BufferedResponseReaderOptions) {
    super();
    this.bodyHash = options.contract?.answerDigest === 'sent' ? crypto.createHash('sha256') : undefined;
  }

  override readHeaders(status: number, rawFields: readonly Buffer[]): void {
    this.status = status;
    // HTTP does not define the encoding of header values. Latin-1 maps each byte to one character, and Node.js also writes headers so.
    const fields = rawFields.map((field) => field.toString('latin1'));
    fields.forEach((field, index) => {
      if (index % 2 === 0) this.addHeader(field.toLowerCase(), fields[index + 1] ?? '');
    });
  }

  override hasHeaders(): boolean {
    return this.status !== 0;
  }

  override readBodyChunk(chunk: Buffer): 'buffered' | 'overflowed' {
    this.bodyHash?.update(chunk);
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
    return this.receivedBytes > this.options.maxBufferedBytes ? 'overflowed' : 'buffered';
  }

  /** Removes and returns the buffered chunks of the body, so that they can be sent on as a part of a streamed answer. */
  takeChunks(): readonly Buffer[] {
    const bufferedChunks = this.chunks;
    this.chunks = [];
    return bufferedChunks;
  }

  /** Whether the answer has headers, an end that can be told from a lost connection, and the promised digest. */
  override isComplete(): boolean {
    return this.hasHeaders() && this.hasDelimitedBody() && this.hasValidDigest();
  }

  override isConnectionReusable(): boolean {
    return this.getMetadata().echo !== 'mismatched';
  }

  /** Gets the values that the headers declare. */
  getMetadata(): ResponseMetadata {
    const { contract, requestId } = this.options;
    const returnedId = this.getHeader('tamarack-request-id');
    const declaredReason = contract?.notRunAnswers === 'declared' ? this.getHeader('tamarack-not-run') : undefined;
    const load = this.getHeader('tamarack-load');
    const echoIfMissing = contract?.requestIdEcho === 'echoed' ? 'mismatched' : 'absent';
    const echoIfReturned = returnedId === requestId ? 'matched' : 'mismatched';
    return {
      echo: returnedId === undefined || contract?.requestIdEcho !== 'echoed' ? echoIfMissing : echoIfReturned,
      notRun: NOT_RUN_REASONS.find((reason) => reason === declaredReason),
      drain: this.getHeader('tamarack-drain') === 'leaving' ? 'leaving' : undefined,
      load: load !== undefined && /^\d{1,6}$/.test(load) ? Number(load) : undefined,
    };
  }

  /** Builds the answer for the caller, without hop-by-hop headers and the `tamarack-` headers, which are meant for this VM. */
  buildAnswer(): core.contracts.UpstreamAnswer {
    return { status: this.status, headers: links.HeaderFilter.filterResponseHeaders(this.headerFields), body: Buffer.concat(this.chunks) };
  }

  /** Gets the value of `content-length`, or undefined if the answer has none. */
  getDeclaredLength(): string | undefined {
    return this.getHeader('content-length');
  }

  private getHeader(name: string): string | undefined {
    return this.headerFields.get(name)?.[0];
  }

  private addHeader(name: string, value: string): void {
    this.headerFields.set(name, [...this.headerFields.get(name) ?? [], value]);
  }

  // An answer without a length or chunked encoding ends when the connection closes. Only a digest shows whether it was truncated.
  private hasDelimitedBody(): boolean {
    return this.bodyHash !== undefined
      || this.options.method === 'HEAD'
      || this.status === 204
      || this.status === 304
      || this.headerFields.has('content-length')
      || this.getHeader('transfer-encoding')?.toLowerCase().includes('chunked') === true;
  }

  private hasValidDigest(): boolean {
    if (this.bodyHash === undefined || this.options.method === 'HEAD' || this.status === 204 || this.status === 304) return true;
    // An empty answer that declares that the request was not run needs no digest: an instance may refuse before it runs the code that
    // computes digests.
    if (this.receivedBytes === 0 && this.getMetadata().notRun !== undefined) return true;
    const declaredDigest = SHA256_DIGEST_PATTERN.exec(this.getHeader('content-digest') ?? '')?.[1];
    return declaredDigest !== undefined && declaredDigest === this.bodyHash.digest('base64');
  }
}
