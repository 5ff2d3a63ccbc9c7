import * as crypto from 'node:crypto';
import type * as http from 'node:http';

/** Content of an answer of the stand-in. */
export interface AnswerContent {
  readonly requestId: string | undefined;
  readonly body: Buffer;
}

/** Answer of the stand-in to one request that was run. */
export class StandinAnswer {
  /**
   * @param response - Answer to write.
   * @param content - Right content of the answer.
   */
  constructor(private readonly response: http.ServerResponse, readonly content: AnswerContent) {}

  /**
   * Sends a whole answer.
   * @param status - Status code.
   * @param content - Content to send.
   */
  send(status: number, content: AnswerContent): void {
    this.writeHead(status, content);
    this.response.end(content.body);
  }

  /** Sends the first half of the answer and closes the connection. */
  sendHalf(): void {
    this.writeHead(200, this.content);
    this.response.write(this.content.body.subarray(0, Math.floor(this.content.body.length / 2)), () => this.close());
  }

  /** Closes the connection without an answer. */
  close(): void {
    this.response.destroy();
  }

  private writeHead(status: number, content: AnswerContent): void {
    this.response.statusCode = status;
    if (content.requestId !== undefined) this.response.setHeader('tamarack-request-id', content.requestId);
    this.response.setHeader('content-type', 'application/json');
    this.response.setHeader('content-length', content.body.length);
    this.response.setHeader('content-digest', `sha-256=:${crypto.createHash('sha256').update(content.body).digest('base64')}:`);
  }
}
