import * as http from 'node:http';

/** Small stand-in for one upstream instance. */
export class UpstreamStandin {
  private readonly server: http.Server;

  /** @param name - Name of the instance, part of its answers. */
  constructor(private readonly name: string) {
    this.server = http.createServer((request, response) => {
      const requestId = request.headers['tamarack-request-id'];
      if (typeof requestId === 'string') response.setHeader('tamarack-request-id', requestId);
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ instance: this.name, path: request.url }));
    });
  }

  /** Starts listening on a free loopback port and resolves to the port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const address = this.server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : 0);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}
