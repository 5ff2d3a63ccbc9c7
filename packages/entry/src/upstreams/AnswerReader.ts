import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

import * as links from '../links/index.js';
import * as replyReader from './ReplyReader.js';

const NOT_RUN_REASONS = ['shed', 'draining', 'cancelled'] as const;
const SHA256_DIGEST_PATTERN = /(?:^|[\s,])sha-256=:([A-Za-z0-9+/=]+):/;

/** Options of an `AnswerReader`. */
export interface AnswerReaderOptions {
  readonly method: string;
  /** Request id that the instance has to echo. */
  readonly requestId: string;
  /** What the upstreams of the service promise; undefined promises nothing. */
  readonly contract: core.contracts.ServiceContract | undefined;
  readonly bufferBytes: number;
}

/** What the head of an answer declares besides its status. */
export interface AnswerDeclarations {
  readonly echo: 'matched' | 'mismatched' | 'absent';
  readonly notRun: 'shed' | 'draining' | 'cancelled' | undefined;
  readonly drain: 'leaving' | undefined;
  readonly load: number | undefined;
}

/** Collects one answer and checks that it is complete and belongs to its request. */
export class AnswerReader extends replyReader.ReplyReader {
  private status = 0;

  private readonly headerFields = new Map<string, readonly string[]>();

  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  private readonly bodyHash: crypto.Hash | undefined;

  /** @param options - Request that the answer belongs to. */
  constructor(private readonly options: AnswerReaderOptions) {
    super();
    this.bodyHash = options.contract?.answerDigest === 'sent' ? crypto.createHash('sha256') : undefined;
  }

  override readHead(status: number, rawFields: readonly Buffer[]): void {
    this.status = status;
    // One character for each byte: HTTP does not define the encoding of values, and Node.js writes them in the same way.
    const texts = rawFields.map((part) => part.toString('latin1'));
    texts.forEach((text, index) => {
      if (index % 2 === 0) this.addHeader(text.toLowerCase(), texts[index + 1] ?? '');
    });
  }

  override hasHead(): boolean {
    return this.status !== 0;
  }

  override readData(chunk: Buffer): 'buffered' | 'overflowed' {
    this.bodyHash?.update(chunk);
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
    return this.receivedBytes > this.options.bufferBytes ? 'overflowed' : 'buffered';
  }

  /** Takes the parts of the body that were collected, for a streamed answer. */
  takeChunks(): readonly Buffer[] {
    const taken = this.chunks;
    this.chunks = [];
    return taken;
  }

  /** Whether the answer is whole by its framing and its digest. */
  override isComplete(): boolean {
    return this.hasHead() && this.hasVerifiableEnd() && this.hasValidDigest();
  }

  override isConnectionReusable(): boolean {
    return this.getDeclarations().echo !== 'mismatched';
  }

  /** Gets what the head declares. */
  getDeclarations(): AnswerDeclarations {
    const { contract, requestId } = this.options;
    const echoed = this.getHeader('tamarack-request-id');
    const declared = contract?.notRunAnswers === 'declared' ? this.getHeader('tamarack-not-run') : undefined;
    const load = this.getHeader('tamarack-load');
    const missingEcho = contract?.requestIdEcho === 'echoed' ? 'mismatched' : 'absent';
    const comparedEcho = echoed === requestId ? 'matched' : 'mismatched';
    return {
      echo: echoed === undefined || contract?.requestIdEcho !== 'echoed' ? missingEcho : comparedEcho,
      notRun: NOT_RUN_REASONS.find((declaration) => declaration === declared),
      drain: this.getHeader('tamarack-drain') === 'leaving' ? 'leaving' : undefined,
      load: load !== undefined && /^\d{1,6}$/.test(load) ? Number(load) : undefined,
    };
  }

  /** Builds the answer for the caller, without the headers that are meant for this VM. */
  buildAnswer(): core.contracts.UpstreamAnswer {
    return { status: this.status, headers: links.HeaderFilter.filterResponseHeaders(this.headerFields), body: Buffer.concat(this.chunks) };
  }

  /** Gets the length that the answer declares, or undefined. */
  getDeclaredLength(): string | undefined {
    return this.getHeader('content-length');
  }

  private getHeader(name: string): string | undefined {
    return this.headerFields.get(name)?.[0];
  }

  private addHeader(name: string, value: string): void {
    this.headerFields.set(name, [...this.headerFields.get(name) ?? [], value]);
  }

  // An answer that ends with its connection cannot be told from one that broke off, unless its digest shows it.
  private hasVerifiableEnd(): boolean {
    return this.bodyHash !== undefined
      || this.options.method === 'HEAD'
      || this.status === 204
      || this.status === 304
      || this.headerFields.has('content-length')
      || this.getHeader('transfer-encoding')?.toLowerCase().includes('chunked') === true;
  }

  private hasValidDigest(): boolean {
    if (this.bodyHash === undefined || this.options.method === 'HEAD' || this.status === 204 || this.status === 304) return true;
    // A declared refusal carries no content; instances that refuse may not reach the code that computes digests.
    if (this.receivedBytes === 0 && this.getDeclarations().notRun !== undefined) return true;
    const declared = SHA256_DIGEST_PATTERN.exec(this.getHeader('content-digest') ?? '')?.[1];
    return declared !== undefined && declared === this.bodyHash.digest('base64');
  }
}
