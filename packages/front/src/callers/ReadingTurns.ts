import type * as http from 'node:http';

/** Requests whose bodies cost so much work that they are read one at a time, so that other callers get their turn in between. */
export class ReadingTurns {
  // The one that has waited longest comes first.
  private readonly waiting = new Set<http.IncomingMessage>();

  /**
   * Stops reading a body when what was read of it is parsed, until its turn.
   * @param request - Request whose body is being received.
   */
  add(request: http.IncomingMessage): void {
    if (this.waiting.has(request)) return;
    this.waiting.add(request);
    queueMicrotask(() => {
      if (!this.waiting.has(request)) return;
      // Without a pause of the request, which wants more data, the socket would be read on.
      request.pause();
      request.socket.pause();
    });
  }

  /** Reads on with the request that has waited longest. Returns false if none waits. */
  readNext(): boolean {
    const [first] = this.waiting;
    if (first === undefined) return false;
    this.waiting.delete(first);
    first.resume();
    first.socket.resume();
    return true;
  }

  /**
   * Forgets a request that has ended, or that is refused.
   * @param request - Request.
   */
  remove(request: http.IncomingMessage): void {
    this.waiting.delete(request);
  }
}
