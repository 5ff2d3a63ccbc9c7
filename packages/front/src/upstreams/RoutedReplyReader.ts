import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';

import type * as upstreamDialect from './UpstreamDialect.js';

// Answers are held until they are whole; a VM may have as little as 250 MB.
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

const NOT_RETURNED: ReadonlySet<string> = new Set();

/** Options of a `RoutedReplyReader`. */
export interface RoutedReplyReaderOptions {
  readonly method: string;
  readonly callerRequestId: string;
  readonly dialect: upstreamDialect.UpstreamDialect;
}

/** Collects the answer of an instance to an attempt. */
export class RoutedReplyReader extends entry.upstreams.ReplyReader {
  private status = 0;

  private rawFields: readonly string[] = [];

  private terms: upstreamDialect.ResponseMetadata | undefined;

  private readonly chunks: Buffer[] = [];

  private receivedBytes = 0;

  private declaredBytes: number | undefined;

  /** @param options - Request that the answer belongs to. */
  constructor(private readonly options: RoutedReplyReaderOptions) {
    super();
  }

  override readHead(status: number, rawFields: readonly Buffer[]): void {
    this.status = status;
    this.rawFields = rawFields.map((field) => field.toString('latin1'));
    const first = new Map<string, string>();
    for (let index = this.rawFields.length - 2; index >= 0; index -= 2) {
      first.set(this.rawFields[index]!.toLowerCase(), this.rawFields[index + 1]!);
    }
    const length = first.get('content-length');
    this.declaredBytes = length === undefined || this.options.method === 'HEAD' ? undefined : Number(length);
    this.terms = this.options.dialect.parseMetadata(status, first, this.options.callerRequestId);
  }

  override hasHead(): boolean {
    return this.status !== 0;
  }

  override readData(chunk: Buffer): 'buffered' | 'overflowed' {
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
    return this.receivedBytes > MAX_ANSWER_BYTES ? 'overflowed' : 'buffered';
  }

  override isComplete(): boolean {
    return this.hasHead() && (this.declaredBytes === undefined || this.declaredBytes === this.receivedBytes || this.status === 304);
  }

  override isReusable(): boolean {
    return this.terms?.echo === 'matched' || this.terms?.execution !== 'may-have-run';
  }

  /** Builds the result of an attempt whose answer is complete. */
  buildEnding(): gateway.upstreams.AttemptEnding {
    const { terms } = this;
    if (terms === undefined || (terms.execution === 'may-have-run' && terms.echo === 'mismatched')) return { type: 'broken' };
    if (terms.execution === 'misdirected') return { type: 'misdirected' };
    if (terms.execution === 'not-run') return { type: 'not-run', load: terms.load };
    // An answer that the instance does not vouch for may come from anything that took over its address.
    if (terms.seal === 'absent') return { type: 'broken' };
    return {
      type: 'answered',
      load: terms.load,
      answer: {
        status: this.status,
        headers: entry.links.HeaderFilter.filterRaw(this.rawFields, NOT_RETURNED),
        body: this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks),
      },
    };
  }
}
