import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';

import * as blockBuffer from '../links/BlockBuffer.js';
import type * as upstreamDialect from './UpstreamDialect.js';

// Responses are buffered until they are complete. All of them together are limited by the budget of `RoutedConnections`.
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Options of a `RoutedResponseReader`. */
export interface RoutedResponseReaderOptions {
  readonly method: string;
  readonly callerRequestId: string;
  readonly dialect: upstreamDialect.UpstreamDialect;
}

/** Buffers the response of an instance to an attempt and decides how the attempt ended. */
export class RoutedResponseReader extends entry.upstreams.ResponseReader {
  private status = 0;

  private rawFields: readonly string[] = [];

  private metadata: upstreamDialect.ResponseMetadata | undefined;

  private readonly body = new blockBuffer.BlockBuffer();

  private heldBytes = 0;

  private declaredBytes: number | undefined;

  /** @param options - Options of the reader. */
  constructor(private readonly options: RoutedResponseReaderOptions) {
    super();
  }

  override readHeaders(status: number, rawFields: readonly Buffer[]): void {
    this.status = status;
    this.rawFields = rawFields.map((field) => field.toString('latin1'));
    const values = new Map<string, string>();
    // A loop over pairs, since this runs for each response.
    for (let index = 0; index < this.rawFields.length; index += 2) {
      const name = this.rawFields[index]!.toLowerCase();
      const previous = values.get(name);
      values.set(name, previous === undefined ? this.rawFields[index + 1]! : `${previous}, ${this.rawFields[index + 1]!}`);
    }
    const length = values.get('content-length');
    this.declaredBytes = length === undefined || this.options.method === 'HEAD' ? undefined : Number(length);
    this.metadata = this.options.dialect.parseMetadata(status, values, this.options.callerRequestId);
  }

  override hasHeaders(): boolean {
    return this.status !== 0;
  }

  // A copy of an earlier response carries the id of an earlier request. That also holds for a refusal: it must not be taken as the
  // statement that this request was not executed.
  override isUsable(): boolean {
    return this.metadata?.echo === 'matched';
  }

  override readBodyChunk(chunk: Buffer): 'buffered' | 'overflowed' {
    this.heldBytes += this.body.add(chunk);
    return this.body.getLength() > MAX_RESPONSE_BYTES ? 'overflowed' : 'buffered';
  }

  /** Gets the length of the body so far. */
  getBodyLength(): number {
    return this.body.getLength();
  }

  /** Gets the memory that the body holds, in bytes. */
  getHeldBytes(): number {
    return this.heldBytes;
  }

  override isComplete(): boolean {
    return this.hasHeaders() && (this.declaredBytes === undefined || this.declaredBytes === this.body.getLength() || this.status === 304);
  }

  override isConnectionReusable(): boolean {
    return this.isUsable();
  }

  /** Gets whether the instance states that it is leaving, in a head that certainly comes from it as its answer to the request. */
  getLeaving(): 'leaving' | undefined {
    const { metadata } = this;
    if (metadata === undefined || metadata.echo === 'mismatched' || metadata.execution === 'misdirected') return undefined;
    // A response without a seal may come from another process that has taken over the address of the instance.
    const isOwn = metadata.execution === 'not-run' || metadata.seal === 'present';
    return isOwn && metadata.statement.presence === 'leaving' ? 'leaving' : undefined;
  }

  /** Builds the result of an attempt whose response is complete. */
  buildEnding(): gateway.upstreams.AttemptEnding {
    const { metadata } = this;
    if (metadata === undefined || metadata.echo === 'mismatched') return { type: 'broken' };
    if (metadata.execution === 'misdirected') return { type: 'misdirected' };
    if (metadata.execution === 'not-run') return { type: 'not-run', statement: metadata.statement };
    // A response without a seal may come from another process that has taken over the address of the instance.
    if (metadata.seal === 'absent') return { type: 'broken' };
    return {
      type: 'answered',
      statement: metadata.statement,
      answer: {
        status: this.status,
        headers: entry.links.HeaderFilter.filterRawHeaders(this.rawFields, NO_EXCLUDED_HEADERS),
        body: this.body.take(),
      },
    };
  }
}
