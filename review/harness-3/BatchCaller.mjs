import * as timers from 'node:timers';

import * as callers from './PipelinedCaller.mjs';

const { Buffer } = globalThis;

const SEGMENT_BYTES = 1_460;
const FIELD_LIMIT_BYTES = 4_000;

/**
 * Client as `PipelinedCaller`, that sends several requests together whenever that many of the earlier ones are answered. Its link carries
 * them in segments, one after the other.
 */
export class BatchCaller extends callers.PipelinedCaller {
  start() {
    this.outgoing = Buffer.alloc(0);
    super.start();
  }

  sendNext() {
    const { depth, batch } = this.options;
    const open = this.sent.length - this.countComplete();
    if (this.sent.length >= depth && open > depth - batch) return;
    const count = this.sent.length < depth ? 1 : batch;
    Array.from({ length: count }).forEach(() => this.addRequest());
    this.segmentTimer ??= timers.setInterval(() => this.sendSegment(), this.options.segmentMs);
  }

  addRequest() {
    const {
      name, prefix, host, deadlineMs, headBytes, record,
    } = this.options;
    const id = `${name}-${this.sent.length + 1}`;
    this.sent.push({ id });
    record(`${id}: sent`);
    const lines = [`GET ${prefix}${id} HTTP/1.1`, `Host: ${host}`, `X-Attempt-Id: ${id}`, `X-Deadline-Ms: ${deadlineMs}`];
    const fields = Array.from({ length: Math.ceil(headBytes / FIELD_LIMIT_BYTES) }, (_, index) => (
      `X-Note-${index}: ${'n'.repeat(Math.min(FIELD_LIMIT_BYTES, headBytes - index * FIELD_LIMIT_BYTES))}`
    ));
    this.outgoing = Buffer.concat([this.outgoing, Buffer.from(`${[...lines, ...fields].join('\r\n')}\r\n\r\n`)]);
  }

  sendSegment() {
    if (this.outgoing.length === 0) return;
    this.socket.write(this.outgoing.subarray(0, SEGMENT_BYTES));
    this.outgoing = this.outgoing.subarray(SEGMENT_BYTES);
  }

  handleClose() {
    timers.clearInterval(this.segmentTimer);
    super.handleClose();
  }
}
