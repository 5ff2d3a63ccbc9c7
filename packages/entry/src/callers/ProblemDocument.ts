/** Fields of a problem document (RFC 9457). */
export interface ProblemFields {
  readonly outcome: 'not-run' | 'unknown';
  readonly reason: string;
  readonly status: number;
  readonly detail?: string;
}

/** Writes problem documents. */
export class ProblemDocument {
  /** Media type of problem documents. */
  static readonly MEDIA_TYPE = 'application/problem+json';

  /**
   * Encodes a problem document.
   * @param fields - Fields of the document.
   */
  static encode(fields: ProblemFields): string {
    return JSON.stringify({
      type: `urn:tamarackferry:${fields.reason}`, title: fields.outcome, status: fields.status, detail: fields.detail,
    });
  }

  /**
   * Formats a whole HTTP answer for a connection whose request could not be parsed.
   * @param fields - Fields of the document.
   * @param phrase - Reason phrase of the status.
   */
  static formatResponse(fields: ProblemFields, phrase: string): string {
    const body = ProblemDocument.encode(fields);
    return [
      `HTTP/1.1 ${fields.status} ${phrase}`,
      `content-type: ${ProblemDocument.MEDIA_TYPE}`,
      `content-length: ${Buffer.byteLength(body)}`,
      `tamarack-outcome: ${fields.outcome}`,
      `tamarack-reason: ${fields.reason}`,
      'connection: close',
      '',
      body,
    ].join('\r\n');
  }
}
