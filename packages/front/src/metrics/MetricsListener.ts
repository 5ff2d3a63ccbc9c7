import type * as http from 'node:http';
import type * as prometheus from 'prom-client';

import * as auxiliaryListener from '../links/AuxiliaryListener.js';

/** Options of a `MetricsListener`. */
export interface MetricsListenerOptions extends auxiliaryListener.AuxiliaryListenerOptions {
  readonly path: string;
  readonly registry: prometheus.Registry;
}

/** HTTP server for the metrics of the process, in the text format of Prometheus. */
export class MetricsListener extends auxiliaryListener.AuxiliaryListener {
  /** @param metricsOptions - Options of the listener. */
  constructor(private readonly metricsOptions: MetricsListenerOptions) {
    super(metricsOptions);
  }

  protected override handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
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
