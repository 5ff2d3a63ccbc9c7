import type * as outcome from './Outcome.js';

/** Copy of a small answer in the memory of one string, since each array buffer costs some hundred bytes more. */
export class RetainedAnswer {
  private readonly status: number;

  private readonly headers: string;

  // One character for each byte.
  private readonly body: string;

  /** @param answer - Answer to copy. */
  constructor(answer: outcome.UpstreamAnswer) {
    this.status = answer.status;
    // Names and values of HTTP headers contain no line feed.
    this.headers = answer.headers.flat().join('\n');
    this.body = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength).toString('latin1');
  }

  /** Size in bytes. */
  get bytes(): number {
    return this.headers.length + this.body.length;
  }

  /** Makes the outcome for a repeat. */
  toOutcome(): outcome.Outcome {
    const fields = this.headers === '' ? [] : this.headers.split('\n');
    const headers = fields.flatMap((name, index) => (index % 2 === 0 ? [[name, fields[index + 1] ?? ''] as const] : []));
    return { type: 'answered', answer: { status: this.status, headers, body: new Uint8Array(Buffer.from(this.body, 'latin1')) } };
  }
}
