/** Fields of a problem document (RFC 9457). */
export interface ProblemFields {
  readonly outcome: 'not-run' | 'unknown';
  readonly reason: string;
  readonly status: number;
  readonly detail?: string;
}

/** Encodes problem documents and the HTTP responses that carry them. */
export class ProblemDocument {
  /** Media type of problem documents. */
  static readonly MEDIA_TYPE = 'application/problem+json';

  /**
   * Encodes a problem document as JSON.
   * @param fields - Fields of the document.
   */
  static encode(fields: ProblemFields): string {
    return JSON.stringify({
      type: `urn:tamarackferry:${fields.reason}`, title: fields.outcome, status: fields.status, detail: fields.detail,
    });
  }

  /**
   * Formats a complete HTTP response, for a connection on which Node.js could not parse the request and so provides no response object.
   * @param fields - Fields of the document.
   * @param phrase - Reason phrase of the status code.
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
