import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers';

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';

/** Parses the head of a request. */
function parseHead(text) {
  const [line, ...fields] = text.split(LINE_END);
  const [method, path] = line.split(' ');
  const headers = new Map(fields.map((field) => {
    const colon = field.indexOf(':');
    return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
  }));
  return { method, path, headers };
}

/** Stand-in for an instance of a service. It reads requests from a plain socket, so that a case decides about each byte of an answer. */
export class InstanceStandin {
  /** Requests that it executed. */
  runs = [];

  sockets = new Set();

  server = net.createServer((socket) => this.serve(socket));

  /**
   * @param options - `id`, `service`, `slots`, `workMs`, and handlers: `onHead` is called with each complete head, `onRequest` with each
   * complete request; each returns true if it has handled the request.
   */
  constructor(options) {
    this.options = {
      workMs: 20, slots: 4, bornMs: 1_700_000_000_000, ...options,
    };
  }

  /** Starts listening. Resolves to `HOST:PORT`. */
  listen(host, port = 0) {
    return new Promise((resolve) => {
      this.server.listen(port, host, () => {
        this.address = `${host}:${this.server.address().port}`;
        resolve(this.address);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Builds its entry in the store. */
  buildEntry(sequence = 1, state = 'ready') {
    const {
      service, slots, bornMs, zone = 'zone-a',
    } = this.options;
    return {
      address: this.address,
      born: bornMs,
      info: {
        service, version: 'v1', zone, capacity: slots,
      },
      status: { state, seq_no: sequence, warmup_left: '0ms' },
    };
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let data = buffer.Buffer.alloc(0);
    let head;
    const readNext = () => {
      if (head === undefined) {
        const end = data.indexOf(HEAD_END);
        if (end < 0) return;
        head = parseHead(data.subarray(0, end).toString('latin1'));
        head.id = head.headers.get('x-attempt-id');
        data = data.subarray(end + HEAD_END.length);
        if (this.options.onHead?.(head, socket) === true) {
          head.taken = true;
        }
      }
      const length = Number(head.headers.get('content-length') ?? 0);
      if (head.taken === true || data.length < length) return;
      const request = { ...head, body: data.subarray(0, length) };
      data = data.subarray(length);
      head = undefined;
      this.handleRequest(request, socket, readNext);
    };
    socket.on('data', (chunk) => {
      data = buffer.Buffer.concat([data, chunk]);
      readNext();
    });
  }

  handleRequest(request, socket, readNext) {
    const expected = request.headers.get('x-expect-instance');
    if (expected !== undefined && expected !== this.options.id) {
      this.write(socket, 421, { 'X-Attempt-Id': request.id, 'X-Instance-Id': this.options.id }, '');
      readNext();
      return;
    }
    if (this.options.onRequest?.(request, socket, readNext) === true) return;
    this.run(request);
    timers.setTimeout(() => {
      this.answer(request, socket, 'done');
      readNext();
    }, this.options.workMs);
  }

  /** Records that it executes a request. */
  run(request) {
    this.runs.push(request.id);
    this.options.onRun?.(request, this);
  }

  /** Answers a request with success. */
  answer(request, socket, body, fields = {}) {
    this.write(socket, 200, { 'X-Attempt-Id': request.id, 'X-Response-Seal': `seal-${this.options.id}`, ...fields }, body);
  }

  /** Writes an answer. */
  write(socket, status, fields, body) {
    if (socket.destroyed) return;
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
    socket.write([`HTTP/1.1 ${status} Status`, ...lines, `Content-Length: ${buffer.Buffer.byteLength(body)}`, '', body].join(LINE_END));
  }
}
