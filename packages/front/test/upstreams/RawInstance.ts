import * as net from 'node:net';

/** Instance that answers with given bytes, for answers that no HTTP library would send. */
export class RawInstance {
  /** Body of the requests that it answers. */
  static readonly BODY = 'body';

  connections = 0;

  requests = 0;

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  /** @param onRequest - Called with the socket and the request id of each head that was received. */
  constructor(onRequest: (socket: net.Socket, requestId: string) => void) {
    this.server = net.createServer((socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      let received = '';
      socket.on('data', (data) => {
        received += data.toString('latin1');
        // Head and body may come separately.
        if (!received.endsWith(RawInstance.BODY)) return;
        const requestId = /request-id: (\S+)/i.exec(received)?.[1] ?? '';
        received = '';
        this.requests += 1;
        onRequest(socket, requestId);
      });
    });
  }

  /** Starts listening on loopback and resolves to the port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve((this.server.address() as net.AddressInfo).port));
    });
  }

  /** Closes the server and its connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Builds a whole answer.
   * @param requestId - Id that the answer names.
   * @param body - Body.
   * @param further - Further header lines, each ended by a line break.
   */
  static buildResponse(requestId: string, body: string, extraHeaders = ''): string {
    return `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nseal: 1\r\ncontent-length: ${body.length}\r\n${extraHeaders}\r\n${body}`;
  }
}
