import * as entry from '@tamarackferry/entry';
import type * as gateway from '@tamarackferry/gateway';

import type * as routedReplyReader from './RoutedReplyReader.js';

/** Options of a `RoutedExchange`. Its time-out bounds the time until the request is written. */
export interface RoutedExchangeOptions extends entry.upstreams.ExchangeOptions {
  readonly reader: routedReplyReader.RoutedReplyReader;
  /** Called once with the result. */
  readonly onEnd: (ending: gateway.upstreams.AttemptEnding) => void;
}

/** Exchange of one attempt of a routed request. */
export class RoutedExchange extends entry.upstreams.Exchange {
  /** @param routedOptions - Attempt with its connections and receiver. */
  constructor(private readonly routedOptions: RoutedExchangeOptions) {
    super(routedOptions);
  }

  /** Gives up if no byte was written yet. The owner of the request watches over the time of one that was sent. */
  override expire(): void {
    if (this.controller === undefined) super.expire();
  }

  protected override complete(ending: entry.upstreams.ExchangeEnding): void {
    this.routedOptions.onEnd(this.buildEnding(ending));
  }

  private buildEnding(ending: entry.upstreams.ExchangeEnding): gateway.upstreams.AttemptEnding {
    switch (ending) {
      case 'complete':
        return this.routedOptions.reader.buildEnding();
      case 'refused':
        return { type: 'unsent' };
      case 'cancelled':
        return { type: 'cancelled' };
      case 'reset':
        return { type: 'reset' };
      default:
        return { type: 'broken' };
    }
  }
}
