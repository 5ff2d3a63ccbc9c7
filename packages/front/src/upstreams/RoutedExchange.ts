import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';

import type * as byteBudget from '../links/ByteBudget.js';
import type * as routedResponseReader from './RoutedResponseReader.js';

// Memory that the parser holds for each byte of header fields and trailers, if the fields are as short as possible.
const COST_PER_FIELD_BYTE = 50;

// Bytes besides the body that cost nothing extra, and those from which on the parser fails.
const USUAL_FIELD_BYTES = 4_096;
const MAX_FIELD_BYTES = 81_920;

/** Options of a `RoutedExchange`. `timeoutMs` limits the time until the request is written. */
export interface RoutedExchangeOptions extends entry.upstreams.ExchangeOptions {
  readonly reader: routedResponseReader.RoutedResponseReader;
  /** Limit on the buffered response data of all exchanges. */
  readonly budget: byteBudget.ByteBudget;
  /** Called once with the result. */
  readonly onEnd: (ending: gateway.upstreams.AttemptEnding) => void;
}

/** One attempt of a routed request on a connection to an instance. */
export class RoutedExchange extends entry.upstreams.Exchange implements byteBudget.ByteHolder {
  private countedFieldBytes = 0;

  /** @param routedOptions - Options of the exchange. */
  constructor(private readonly routedOptions: RoutedExchangeOptions) {
    super(routedOptions);
  }

  /** Ends the exchange if no byte was written yet. Once the request is sent, the request task enforces its deadline. */
  override expire(): void {
    if (this.controller === undefined) super.expire();
  }

  /** Whether the response can be given up: always. */
  isEvictable(): boolean {
    return true;
  }

  /** Ends the exchange because the responses that are being received take too much memory together, this one the most. */
  evict(): void {
    this.end('truncated');
  }

  // Heads and trailers that do not end are held by the parser, so they count as well.
  protected override handleRead(bytes: number): void {
    const { reader, budget } = this.routedOptions;
    const fieldBytes = Math.min(MAX_FIELD_BYTES, bytes - reader.getBodyLength());
    if (fieldBytes <= Math.max(USUAL_FIELD_BYTES, this.countedFieldBytes)) return;
    const grownBytes = fieldBytes - this.countedFieldBytes;
    this.countedFieldBytes = fieldBytes;
    budget.add(this, grownBytes * COST_PER_FIELD_BYTE);
  }

  protected override handleBodyChunk(chunk: Buffer): void {
    const { reader, budget } = this.routedOptions;
    const heldBytes = reader.getHeldBytes();
    super.handleBodyChunk(chunk);
    const grownBytes = reader.getHeldBytes() - heldBytes;
    if (grownBytes > 0 && this.isOpen()) budget.add(this, grownBytes);
  }

  protected override reportEnding(ending: entry.upstreams.ExchangeEnding): void {
    this.routedOptions.budget.release(this);
    this.routedOptions.onEnd(this.buildEnding(ending));
  }

  private buildEnding(ending: entry.upstreams.ExchangeEnding): gateway.upstreams.AttemptEnding {
    switch (ending) {
      case 'complete':
        return this.routedOptions.reader.buildEnding();
      case 'refused':
        return { type: 'unsent' };
      case 'cancelled':
        return { type: 'cancelled', presence: this.routedOptions.reader.getLeaving() };
      case 'reset':
        return { type: 'reset' };
      default:
        return { type: 'broken', presence: this.routedOptions.reader.getLeaving() };
    }
  }
}
