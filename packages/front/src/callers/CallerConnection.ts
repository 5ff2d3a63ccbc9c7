import type * as frontExchange from './FrontExchange.js';

/** Connection of a caller with its requests that have no response yet. Responses are sent in the order of the requests. */
export class CallerConnection {
  /** Ids of the requests that were passed on and have no response yet. */
  readonly requestIds = new Set<string>();

  private newest: frontExchange.FrontExchange | undefined;

  private state: 'open' | 'closing' = 'open';

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
