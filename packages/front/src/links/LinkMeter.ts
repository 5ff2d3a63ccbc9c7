import * as diagnostics from 'node:diagnostics_channel';
import type * as net from 'node:net';

// Channels on which Node.js publishes each TCP socket that it accepts or opens.
const CHANNELS = ['net.server.socket', 'net.client.socket'];

/** Counts the bytes of all TCP connections of the process, with no part of it having to report its sockets. */
export class LinkMeter {
  private readonly open = new Set<net.Socket>();

  // Bytes of connections that are closed.
  private closedReadBytes = 0;

  private closedWrittenBytes = 0;

  private readonly receive = (message: unknown): void => this.track((message as { readonly socket: net.Socket }).socket);

  /** Starts to count the bytes of new connections. */
  start(): void {
    CHANNELS.forEach((channel) => diagnostics.subscribe(channel, this.receive));
  }

  /** Ends the count of new connections. */
  stop(): void {
    CHANNELS.forEach((channel) => diagnostics.unsubscribe(channel, this.receive));
  }

  /** Sums the bytes that were read and written since the start. */
  sumBytes(): { readonly read: number; readonly written: number } {
    const sockets = [...this.open];
    return {
      read: this.closedReadBytes + sockets.reduce((sum, socket) => sum + socket.bytesRead, 0),
      written: this.closedWrittenBytes + sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0),
    };
  }

  private track(socket: net.Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedReadBytes += socket.bytesRead;
      this.closedWrittenBytes += socket.bytesWritten;
    });
  }
}
