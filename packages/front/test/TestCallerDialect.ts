import * as front from '@tamarackferry/front';
import type * as gateway from '@tamarackferry/gateway';

/** Dialect of tests towards callers. */
export class TestCallerDialect extends front.callers.CallerDialect {
  override readTerms(headers: NodeJS.Dict<string | string[]>): front.callers.RequestTerms | undefined {
    const id = headers['request-id'];
    return typeof id === 'string' ? { callerRequestId: id, deadlineMs: undefined } : undefined;
  }

  override buildRefusal(reason: gateway.callers.RefusalReason): front.callers.RefusalAnswer {
    return { status: 503, headers: ['reason', reason] };
  }
}
