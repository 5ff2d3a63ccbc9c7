import type * as bufferedResponseReader from './BufferedResponseReader.js';
import * as exchange from './Exchange.js';

/** Options of a `CancelExchange`. */
export interface CancelExchangeOptions extends exchange.ExchangeOptions {
  readonly reader: bufferedResponseReader.BufferedResponseReader;
  /**
   * Called once.
   * - `confirmed-not-run`: the instance stated that it has not run the request and will not run it.
   * - `silent`: no such confirmation was received, so the request may have run.
   */
  readonly onEnd: (confirmation: 'confirmed-not-run' | 'silent') => void;
}

/** Requests that an instance cancel a request that was sent to it on another connection. */
export class CancelExchange extends exchange.Exchange {
  /** @param cancelOptions - Cancellation request and receiver of its result. */
  constructor(private readonly cancelOptions: CancelExchangeOptions) {
    super(cancelOptions);
  }

  protected override reportEnding(ending: exchange.ExchangeEnding): void {
    const declarations = this.cancelOptions.reader.getMetadata();
    const confirmed = ending === 'complete' && declarations.notRun === 'cancelled' && declarations.echo !== 'mismatched';
    this.cancelOptions.onEnd(confirmed ? 'confirmed-not-run' : 'silent');
  }
}
