import * as http from 'node:http';
import type * as net from 'node:net';

/** Request that a `VmStandin` received. */
export interface ReceivedRequest {
  readonly path: string;
  readonly operationId: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
}

/** Response of a `VmStandin`. `close` closes the connection without a response; `hold` keeps it open and sends no response. */
export type ScriptedResponse = { readonly status: number; readonly headers: Record<string, string>; readonly body?: string } | 'close' | 'hold';

/** HTTP server that takes the part of an entry VM and sends the responses that a test sets. */
export class VmStandin {
  readonly receivedRequests: ReceivedRequest[] = [];

  addressRequestCount = 0;

  port = 0;

  /** VMs that responses to address queries list in addition to this one. */
  otherVms: VmStandin[] = [];

  validForMs = 60_000;

  /** Names of the home VMs of the next operation prefixes to issue, in order. This VM if empty. */
  prefixHomeVms: string[] = [];

  buildResponse: (request: ReceivedRequest) => ScriptedResponse = () => ({ status: 200, headers: { 'tamarack-outcome': 'answered' }, body: this.name });

  private readonly server = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => this.handleRequest(request, response));
  });

  /**
   * @param name - Name of the VM.
   * @param issuing - Whether responses to address queries contain an operation prefix; `silent` means that they do not.
   */
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
      this.addressRequestCount += 1;
      const addresses = [this, ...this.otherVms].map((vm) => ({
        vm: vm.name, host: '127.0.0.1', port: vm.port, place: 'a',
      }));
      response.end(JSON.stringify({
        type: 'addresses', service: 'orders', addresses, validForMs: this.validForMs, operationPrefix: this.issuing === 'issuing' ? `${this.prefixHomeVms.shift() ?? this.name}.i1.1` : undefined,
      }));
      return;
    }
    const receivedRequest = { path: request.url ?? '', operationId: request.headersDistinct['tamarack-operation-id']?.[0], headers: request.headers };
    this.receivedRequests.push(receivedRequest);
    const scripted = this.buildResponse(receivedRequest);
    if (scripted === 'close') response.destroy();
    else if (scripted !== 'hold') response.writeHead(scripted.status, scripted.headers).end(scripted.body);
  }
}
