import * as http from 'node:http';
import type * as core from '@tamarackferry/core';

/** Small stand-in for the platform: publishes a configuration text and a list of VMs over HTTP. */
export class PlatformStandin {
  private readonly server: http.Server;

  private text = '';

  private entries: readonly core.vms.ListEntry[] = [];

  /** Creates a stand-in that does not listen yet. */
  constructor() {
    this.server = http.createServer((request, response) => {
      if (request.url?.startsWith('/configuration') === true) response.end(this.text);
      else response.end(JSON.stringify({ entries: this.entries }));
    });
  }

  /** Starts listening on a free loopback port and resolves to the base URL. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const address = this.server.address();
        resolve(`http://127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`);
      });
    });
  }

  /**
   * Publishes a configuration document.
   * @param text - Sealed text.
   */
  publishDocument(text: string): void {
    this.text = text;
  }

  /**
   * Publishes the list of VMs.
   * @param entries - Entry VMs and upstream instances.
   */
  publishList(entries: readonly core.vms.ListEntry[]): void {
    this.entries = entries;
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}
