import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

import * as links from '../links/index.js';
import * as responseReader from './ResponseReader.js';

const NOT_RUN_REASONS = ['shed', 'draining', 'cancelled'] as const;
const SHA256_DIGEST_PATTERN = /(?:^|[\s,])sha-256=:([A-Za-z0-9+/=]+):/;

/** Options of a `BufferedResponseReader`. */
export interface BufferedResponseReaderOptions {
  readonly method: string;
  /** Request id that the instance returns in `tamarack-request-id`, if the contract guarantees this. */
  readonly requestId: string;
  /** Contract of the service, which says what its responses guarantee; undefined if they guarantee nothing. */
  readonly contract: core.contracts.ServiceContract | undefined;
  /** Maximum body size to buffer, in bytes. */
  readonly maxBufferedBytes: number;
}

/** Parsed `tamarack-` headers of a response. The request id and `notRun` are used only if the contract guarantees them. */
export interface ResponseMetadata {
  /** Whether the echoed request id matches the id that was sent; `absent` if the contract does not guarantee an echo. */
  readonly echo: 'matched' | 'mismatched' | 'absent';
  /** Reason that the instance gave for not running the request, if any. */
  readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
  /** `leaving` if the instance announces that it will stop serving requests. */
  readonly drain: 'leaving' | undefined;
  /** Load that the instance reports about itself. */
  readonly load: number | undefined;
}

/** Buffers one response and checks that it is complete and belongs to its request. */
export class BufferedResponseReader extends responseReader.ResponseReader {
  private status = 0;

  private readonly headers = new Map<string, readonly string[]>();

  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  private readonly bodyHash: crypto.Hash | undefined;

  /** @param options - Request that the response belongs to, and the contract of its service. */
  constructor(private readonly options: BufferedResponseReaderOptions) {
    super();
    this.bodyHash = options.contract?.answerDigest === 'sent' ? crypto.createHash('sha256') : undefined;
  }

  override readHeaders(status: number, rawHeaders: readonly Buffer[]): void {
    this.status = status;
    // HTTP does not define the encoding of header values. Latin-1 preserves every byte, and Node.js also writes headers in it.
    const namesAndValues = rawHeaders.map((bytes) => bytes.toString('latin1'));
    namesAndValues.forEach((text, index) => {
      if (index % 2 === 0) this.addHeader(text.toLowerCase(), namesAndValues[index + 1] ?? '');
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

  /** Removes and returns the buffered chunks of the body, so that they can be sent on as a part of a streamed response. */
  takeChunks(): readonly Buffer[] {
    const bufferedChunks = this.chunks;
    this.chunks = [];
    return bufferedChunks;
  }

  /** Whether the response has headers, a delimited body (by length, chunked encoding or digest), and the guaranteed digest. */
  override isComplete(): boolean {
    return this.hasHeaders() && this.hasDelimitedBody() && this.hasValidDigest();
  }

  override isConnectionReusable(): boolean {
    return this.getMetadata().echo !== 'mismatched';
  }

  /** Parses the `tamarack-` headers. */
  getMetadata(): ResponseMetadata {
    const { contract, requestId } = this.options;
    const echoedId = this.getHeader('tamarack-request-id');
    const declaredReason = contract?.notRunAnswers === 'declared' ? this.getHeader('tamarack-not-run') : undefined;
    const load = this.getHeader('tamarack-load');
    const echoWithoutComparison = contract?.requestIdEcho === 'echoed' ? 'mismatched' : 'absent';
    const echoByComparison = echoedId === requestId ? 'matched' : 'mismatched';
    return {
      echo: echoedId === undefined || contract?.requestIdEcho !== 'echoed' ? echoWithoutComparison : echoByComparison,
      notRun: NOT_RUN_REASONS.find((reason) => reason === declaredReason),
      drain: this.getHeader('tamarack-drain') === 'leaving' ? 'leaving' : undefined,
      load: load !== undefined && /^\d{1,6}$/.test(load) ? Number(load) : undefined,
    };
  }

  /** Builds the response for the caller, without hop-by-hop headers and the `tamarack-` headers, which are meant for this VM. */
  buildAnswer(): core.contracts.UpstreamAnswer {
    return { status: this.status, headers: links.HeaderFilter.filterResponseHeaders(this.headers), body: Buffer.concat(this.chunks) };
  }

  /** Gets the value of `content-length`, or undefined if the response has none. */
  getDeclaredLength(): string | undefined {
    return this.getHeader('content-length');
  }

  private getHeader(name: string): string | undefined {
    return this.headers.get(name)?.[0];
  }

  private addHeader(name: string, value: string): void {
    this.headers.set(name, [...this.headers.get(name) ?? [], value]);
  }

  // A response without a length or chunked encoding ends when the connection closes. Without a digest, its truncation cannot
  // be detected.
  private hasDelimitedBody(): boolean {
    return this.bodyHash !== undefined
      || this.options.method === 'HEAD'
      || this.status === 204
      || this.status === 304
      || this.headers.has('content-length')
      || this.getHeader('transfer-encoding')?.toLowerCase().includes('chunked') === true;
  }

  private hasValidDigest(): boolean {
    if (this.bodyHash === undefined || this.options.method === 'HEAD' || this.status === 204 || this.status === 304) return true;
    // An empty response that declares that the request was not run needs no digest: an instance may refuse before it runs the code that
    // computes digests.
    if (this.receivedBytes === 0 && this.getMetadata().notRun !== undefined) return true;
    const declaredDigest = SHA256_DIGEST_PATTERN.exec(this.getHeader('content-digest') ?? '')?.[1];
    return declaredDigest !== undefined && declaredDigest === this.bodyHash.digest('base64');
  }
}
