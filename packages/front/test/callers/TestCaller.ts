import * as net from 'node:net';

/** Raw TCP connection of a caller, with a record of the received data. */
export class TestCaller {
  received = '';

  private constructor(readonly socket: net.Socket) {
    socket.on('data', (data) => {
      this.received += data.toString('latin1');
    });
    socket.on('error', () => undefined);
  }

  /**
   * Connects to a listener.
   * @param port - Port of the listener.
   */
  static connect(port: number): Promise<TestCaller> {
    return new Promise((resolve, reject) => {
      const socket = net.connect(port, '127.0.0.1', () => resolve(new TestCaller(socket)));
      socket.once('error', reject);
    });
  }
}
