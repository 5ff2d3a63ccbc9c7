import * as http from 'node:http';
import type * as net from 'node:net';

/** Request that a `VmStandin` received. */
export interface ReceivedRequest {
  readonly path: string;
  readonly operationId: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
}

/** What a `VmStandin` answers: headers with a status and a body, `close` to break off, `hold` to stay silent. */
export type ScriptedResponse = { readonly status: number; readonly headers: Record<string, string>; readonly body?: string } | 'close' | 'hold';

/** Entry VM whose answers a test scripts. */
export class VmStandin {
  readonly requests: ReceivedRequest[] = [];

  addressQueries = 0;

  port = 0;

  /** VMs that address answers name; this one if empty. */
  otherVms: VmStandin[] = [];

  validForMs = 60_000;

  /** Home VMs of the next prefixes; this one if empty. */
  prefixHomeVms: string[] = [];

  buildResponse: (request: ReceivedRequest) => ScriptedResponse = () => ({ status: 200, headers: { 'tamarack-outcome': 'answered' }, body: this.name });

  private readonly server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => this.handleRequest(request, response));
  });

  constructor(readonly name: string, private readonly issuing: 'issuing' | 'silent' = 'issuing') {}

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url?.startsWith('/-/addresses') === true) {
      this.addressQueries += 1;
      const addresses = [this, ...this.otherVms].map((vm) => ({
        vm: vm.name, host: '127.0.0.1', port: vm.port, place: 'a',
      }));
      response.end(JSON.stringify({
        type: 'addresses', service: 'orders', addresses, validForMs: this.validForMs, operationPrefix: this.issuing === 'issuing' ? `${this.prefixHomeVms.shift() ?? this.name}.i1.1` : undefined,
      }));
      return;
    }
    const received = { path: request.url ?? '', operationId: request.headersDistinct['tamarack-operation-id']?.[0], headers: request.headers };
    this.requests.push(received);
    const answer = this.buildResponse(received);
    if (answer === 'close') response.destroy();
    else if (answer !== 'hold') response.writeHead(answer.status, answer.headers).end(answer.body);
  }
}
