import * as net from 'node:net';
import * as timers from 'node:timers';

const { Buffer } = globalThis;

const READ_INTERVAL_MS = 20;

/**
 * Client with one kept connection and several safe requests on it. It reads at the rate of its link, sends a further request for each
 * answer that it has read, and none after it has read the head of an answer with `Connection: close`.
 */
export class PipelinedCaller {
  constructor(options) {
    this.options = options;
    this.sent = [];
    this.answers = [];
    this.pending = Buffer.alloc(0);
    this.remainingBytes = 0;
    this.state = 'open';
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
  }

  /** Opens the connection and sends the first requests. */
  start() {
    const { address, depth, bytesPerSecond } = this.options;
    this.socket = net.connect(address);
    this.socket.setNoDelay(true);
    this.socket.on('error', (error) => this.options.record(`${this.options.name}: connection error ${error.code}`));
    this.socket.once('close', () => this.handleClose());
    // Without a listener of data, bytes stay in the socket until they are read below.
    this.socket.once('connect', () => Array.from({ length: depth }).forEach(() => this.sendNext()));
    const step = Math.round((bytesPerSecond * READ_INTERVAL_MS) / 1_000);
    this.timer = timers.setInterval(() => this.readSome(step), READ_INTERVAL_MS);
  }

  /** Sends no further requests. */
  finish() {
    if (this.state === 'open') this.state = 'finishing';
    if (this.sent.length === this.countComplete()) this.socket.end();
  }

  /** Lists the ids of requests without a complete answer. */
  listUnanswered() {
    return this.sent.slice(this.countComplete()).map(({ id }) => id);
  }

  countComplete() {
    return this.answers.filter((answer) => answer.state === 'complete').length;
  }

  sendNext() {
    const id = `${this.options.name}-${this.sent.length + 1}`;
    this.sent.push({ id });
    this.options.record(`${id}: sent`);
    this.socket.write([
      `GET ${this.options.prefix}${id} HTTP/1.1`, `Host: ${this.options.host}`, `X-Attempt-Id: ${id}`, `X-Deadline-Ms: ${this.options.deadlineMs}`, '', '',
    ].join('\r\n'));
  }

  readSome(bytes) {
    const chunk = this.socket.read(bytes) ?? this.socket.read();
    if (chunk === null) return;
    this.pending = Buffer.concat([this.pending, chunk]);
    this.parse();
  }

  parse() {
    if (this.remainingBytes > 0) {
      const taken = Math.min(this.remainingBytes, this.pending.length);
      this.pending = this.pending.subarray(taken);
      this.remainingBytes -= taken;
      if (this.remainingBytes > 0) return;
      this.completeAnswer();
    }
    const end = this.pending.indexOf('\r\n\r\n');
    if (end < 0) return;
    const head = this.pending.subarray(0, end).toString('latin1');
    this.pending = this.pending.subarray(end + 4);
    this.remainingBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    this.answers.push({ id: this.sent[this.answers.length]?.id, status: Number(head.slice(9, 12)), state: 'begun' });
    if (/^connection: close/im.test(head)) {
      this.state = 'closing';
      this.options.record(`${this.answers.at(-1).id}: answer with Connection: close begins`);
    }
    if (this.remainingBytes === 0) this.completeAnswer();
    this.parse();
  }

  completeAnswer() {
    const answer = this.answers.at(-1);
    answer.state = 'complete';
    this.options.record(`${answer.id}: answered ${answer.status}, whole body`);
    if (this.state === 'open') this.sendNext();
    else this.finish();
  }

  // What was received before the end can still be read.
  handleClose() {
    timers.clearInterval(this.timer);
    this.readSome(Infinity);
    this.options.record(`${this.options.name}: connection closed, ${this.remainingBytes} bytes of an answer missing`);
    this.resolveEnded();
  }
}
