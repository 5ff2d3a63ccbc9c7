import type * as answerReader from './AnswerReader.js';
import * as exchange from './Exchange.js';

/** Options of a `CancelExchange`. */
export interface CancelExchangeOptions extends exchange.ExchangeOptions {
  readonly reader: answerReader.AnswerReader;
  /** Called once. `confirmed-not-run` if the instance declared that it did not run the request and will not. */
  readonly onEnd: (confirmation: 'confirmed-not-run' | 'silent') => void;
}

/** Asks an instance to cancel a request that was sent on another connection. */
export class CancelExchange extends exchange.Exchange {
  /** @param cancelOptions - Request and receiver of the confirmation. */
  constructor(private readonly cancelOptions: CancelExchangeOptions) {
    super(cancelOptions);
  }

  protected override complete(ending: exchange.ExchangeEnding): void {
    const declarations = this.cancelOptions.reader.getDeclarations();
    const confirmed = ending === 'complete' && declarations.notRun === 'cancelled' && declarations.echo !== 'mismatched';
    this.cancelOptions.onEnd(confirmed ? 'confirmed-not-run' : 'silent');
  }
}
