import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as links from '../links/index.js';
import type * as listenerRefusal from './ListenerRefusal.js';

const DEADLINE_PATTERN = /^\d{1,9}$/;
// An upstream may resolve dot segments and so treat the request as another one than the contract was matched with here.
const DOT_SEGMENT_PATTERN = /(?:^|[/\\])(?:\.|%2e){1,2}(?:[/\\]|$)/i;
const NON_REPEATABLE_HEADERS = ['tamarack-member', 'tamarack-member-key', 'tamarack-deadline-ms', 'tamarack-operation-id'] as const;

/** Validated head of a caller's request: the request line and the header section. */
export class RequestHead {
  private constructor(
    private readonly request: http.IncomingMessage,
    /** First segment of the path: the name of the service, or `-` for the endpoints of the VM. */
    readonly firstSegment: string,
    /** Request target without the first segment: path and query. */
    readonly remainingTarget: string,
    /** Parameters of the query. */
    readonly query: URLSearchParams,
  ) {}

  /**
   * Validates the head of a request.
   * @param request - Request whose header section was parsed.
   */
  static parse(request: http.IncomingMessage): neverthrow.Result<RequestHead, listenerRefusal.ListenerRefusal> {
    const refuse = (
      reason: listenerRefusal.ListenerRefusalReason,
      detail: string,
    ): neverthrow.Err<RequestHead, listenerRefusal.ListenerRefusal> => neverthrow.err({ reason, detail });
    const target = request.url ?? '';
    const [path = '', ...queryParts] = target.split('?');
    if (!path.startsWith('/') || path.includes('\\') || target.includes('#')) return refuse('path-invalid', 'the target has to be a path that begins with a slash');
    if (DOT_SEGMENT_PATTERN.test(path)) return refuse('path-invalid', 'the path has dot segments');
    const invalidField = links.RequestFields.describeInvalid(request.rawHeaders);
    if (invalidField !== undefined) return refuse('malformed-request', invalidField);
    const repeatedHeader = NON_REPEATABLE_HEADERS.find((name) => (request.headersDistinct[name]?.length ?? 0) > 1);
    if (repeatedHeader !== undefined) return refuse('malformed-request', `${repeatedHeader} is given more than once`);
    const deadline = request.headersDistinct['tamarack-deadline-ms']?.[0];
    if (deadline !== undefined && !DEADLINE_PATTERN.test(deadline)) {
      return refuse('deadline-invalid', 'tamarack-deadline-ms has to be a number of milliseconds');
    }
    const query = queryParts.join('?');
    const secondSlash = path.indexOf('/', 1);
    const firstSegment = secondSlash < 0 ? path.slice(1) : path.slice(1, secondSlash);
    const remainingPath = secondSlash < 0 ? '/' : path.slice(secondSlash);
    return neverthrow.ok(new RequestHead(request, firstSegment, queryParts.length === 0 ? remainingPath : `${remainingPath}?${query}`, new URLSearchParams(query)));
  }

  /** Gets the HTTP method, `GET` if the request has none. */
  getMethod(): string {
    return this.request.method ?? 'GET';
  }

  /** Gets the name of the member that the caller belongs to, empty if the request names none. */
  getMember(): string {
    return this.getHeader('tamarack-member') ?? '';
  }

  /** Gets the key of the member, empty if the request has none. */
  getMemberKey(): string {
    return this.getHeader('tamarack-member-key') ?? '';
  }

  /** Gets the value of the header `content-length`, or undefined if it is absent. */
  getContentLength(): number | undefined {
    const contentLength = this.request.headers['content-length'];
    return contentLength === undefined ? undefined : Number(contentLength);
  }

  /**
   * Builds the request that is posted to `core.vms.Vm`.
   * @param body - Complete body.
   */
  buildRequest(body: Buffer): core.callers.CallerRequest {
    const method = this.getMethod();
    const operationId = this.getHeader('tamarack-operation-id');
    const deadline = this.getHeader('tamarack-deadline-ms');
    return {
      service: this.firstSegment,
      method,
      path: this.remainingTarget,
      headers: links.HeaderFilter.filterRequestHeaders(this.request.headers),
      body,
      // Detects an operation id (idempotency key) that is reused for a different request.
      digest: operationId === undefined ? '' : crypto.createHash('sha256').update(`${method} ${this.remainingTarget}\n`).update(body).digest('hex'),
      member: this.getMember(),
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      operationId,
    };
  }

  private getHeader(name: typeof NON_REPEATABLE_HEADERS[number]): string | undefined {
    return this.request.headersDistinct[name]?.[0];
  }
}
