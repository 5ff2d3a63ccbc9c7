import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as links from '../links/index.js';
import type * as listenerRefusal from './ListenerRefusal.js';

const DEADLINE_PATTERN = /^\d{1,9}$/;
// Dot segments would let a path match one kind here and another at the upstream.
const DOT_SEGMENT_PATTERN = /(?:^|[/\\])(?:\.|%2e){1,2}(?:[/\\]|$)/i;
const OWN_HEADERS = ['tamarack-member', 'tamarack-member-key', 'tamarack-deadline-ms', 'tamarack-operation-id'] as const;

/** Checked head of a caller's request. */
export class RequestHead {
  private constructor(
    private readonly message: http.IncomingMessage,
    /** First segment of the path. */
    readonly first: string,
    /** Path and query below the first segment. */
    readonly rest: string,
    /** Parameters of the query. */
    readonly query: URLSearchParams,
  ) {}

  /**
   * Checks the head of a request.
   * @param message - Request whose head was parsed.
   */
  static parse(message: http.IncomingMessage): neverthrow.Result<RequestHead, listenerRefusal.ListenerRefusal> {
    const refuse = (
      reason: listenerRefusal.ListenerRefusalReason,
      detail: string,
    ): neverthrow.Err<RequestHead, listenerRefusal.ListenerRefusal> => neverthrow.err({ reason, detail });
    const target = message.url ?? '';
    const [path = '', ...queryParts] = target.split('?');
    if (!path.startsWith('/') || path.includes('\\') || target.includes('#')) return refuse('path-invalid', 'the target has to be a path that begins with a slash');
    if (DOT_SEGMENT_PATTERN.test(path)) return refuse('path-invalid', 'the path has dot segments');
    if (message.headers['transfer-encoding'] !== undefined && message.headers['content-length'] !== undefined) {
      return refuse('malformed-request', 'content-length and transfer-encoding exclude each other');
    }
    const repeated = OWN_HEADERS.find((name) => (message.headersDistinct[name]?.length ?? 0) > 1);
    if (repeated !== undefined) return refuse('malformed-request', `${repeated} is given more than once`);
    const deadline = message.headersDistinct['tamarack-deadline-ms']?.[0];
    if (deadline !== undefined && !DEADLINE_PATTERN.test(deadline)) {
      return refuse('deadline-invalid', 'tamarack-deadline-ms has to be a number of milliseconds');
    }
    const query = queryParts.join('?');
    const second = path.indexOf('/', 1);
    const first = second < 0 ? path.slice(1) : path.slice(1, second);
    const below = second < 0 ? '/' : path.slice(second);
    return neverthrow.ok(new RequestHead(message, first, queryParts.length === 0 ? below : `${below}?${query}`, new URLSearchParams(query)));
  }

  /** Gets the method. */
  getMethod(): string {
    return this.message.method ?? 'GET';
  }

  /** Gets the name of the member, empty if there is none. */
  getMember(): string {
    return this.getHeader('tamarack-member') ?? '';
  }

  /** Gets the key of the member, empty if there is none. */
  getMemberKey(): string {
    return this.getHeader('tamarack-member-key') ?? '';
  }

  /** Gets the declared length of the body, or undefined. */
  getDeclaredLength(): number | undefined {
    const declared = this.message.headers['content-length'];
    return declared === undefined ? undefined : Number(declared);
  }

  /**
   * Builds the request for the VM.
   * @param body - Whole body.
   */
  buildRequest(body: Buffer): core.callers.CallerRequest {
    const method = this.getMethod();
    const operationId = this.getHeader('tamarack-operation-id');
    const deadline = this.getHeader('tamarack-deadline-ms');
    return {
      service: this.first,
      method,
      path: this.rest,
      headers: links.HeaderFilter.filterRequestHeaders(this.message.headers),
      body,
      digest: operationId === undefined ? '' : crypto.createHash('sha256').update(`${method} ${this.rest}\n`).update(body).digest('hex'),
      member: this.getMember(),
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      operationId,
    };
  }

  private getHeader(name: typeof OWN_HEADERS[number]): string | undefined {
    return this.message.headersDistinct[name]?.[0];
  }
}
