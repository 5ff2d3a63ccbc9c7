import type * as core from '@tamarackferry/core';

import type * as bufferedResponseReader from './BufferedResponseReader.js';
import * as exchange from './Exchange.js';

/** Options of a `ProbeExchange`. */
export interface ProbeExchangeOptions extends exchange.ExchangeOptions {
  readonly reader: bufferedResponseReader.BufferedResponseReader;
  /** Called once with the result. */
  readonly onEnd: (result: core.upstreams.ProbeResult) => void;
}

/** Sends one health probe to an instance and evaluates the response. */
export class ProbeExchange extends exchange.Exchange {
  private readonly startedAtMs: number;

  /** @param probeOptions - Probe request and receiver of its result. */
  constructor(private readonly probeOptions: ProbeExchangeOptions) {
    super(probeOptions);
    this.startedAtMs = probeOptions.timers.getNowMs();
  }

  protected override reportEnding(ending: exchange.ExchangeEnding): void {
    this.probeOptions.onEnd(this.buildResult(ending));
  }

  private buildResult(ending: exchange.ExchangeEnding): core.upstreams.ProbeResult {
    if (ending !== 'complete') return { type: 'failed' };
    const { drain, load } = this.probeOptions.reader.getMetadata();
    if (drain === 'leaving') return { type: 'draining' };
    const { status } = this.probeOptions.reader.buildAnswer();
    if (status < 200 || status > 299) return { type: 'unhealthy' };
    return { type: 'healthy', latencyMs: this.probeOptions.timers.getNowMs() - this.startedAtMs, load };
  }
}
