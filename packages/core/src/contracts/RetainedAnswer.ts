import type * as outcome from './Outcome.js';

/** Compact copy of a small answer. The body is stored as a string, because an array buffer would use some hundred bytes more. */
export class RetainedAnswer {
  private readonly status: number;

  private readonly headers: string;

  // Latin-1, one character per byte.
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

  /** Builds the outcome for a later request with the same operation id. */
  toOutcome(): outcome.Outcome {
    const fields = this.headers === '' ? [] : this.headers.split('\n');
    const headers = fields.flatMap((name, index) => (index % 2 === 0 ? [[name, fields[index + 1] ?? ''] as const] : []));
    return { type: 'answered', answer: { status: this.status, headers, body: new Uint8Array(Buffer.from(this.body, 'latin1')) } };
  }
}
