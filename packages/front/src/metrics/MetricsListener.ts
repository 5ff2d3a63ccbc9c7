import type * as http from 'node:http';
import type * as prometheus from 'prom-client';

import * as addressListener from '../links/AddressListener.js';

/** Options of a `MetricsListener`. */
export interface MetricsListenerOptions extends addressListener.AddressListenerOptions {
  readonly path: string;
  readonly registry: prometheus.Registry;
}

/** Serves counters, gauges and histograms as text. */
export class MetricsListener extends addressListener.AddressListener {
  /** @param metricsOptions - Address and metrics. */
  constructor(private readonly metricsOptions: MetricsListenerOptions) {
    super(metricsOptions);
  }

  protected override answerRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { path, registry } = this.metricsOptions;
    if ((request.url ?? '').split('?')[0] !== path) {
      response.writeHead(404, { 'content-length': 0 }).end();
      return;
    }
    void registry.metrics().then((text) => {
      response.writeHead(200, { 'content-type': registry.contentType, 'content-length': Buffer.byteLength(text) }).end(text);
    });
  }
}
