import * as front from '@tamarackferry/front';
import * as gateway from '@tamarackferry/gateway';

/** Upstream dialect with plain header names, independent of any platform. */
export class TestUpstreamDialect extends front.upstreams.UpstreamDialect {
  override buildHeaders(attempt: Extract<gateway.callers.GatewayOutput, { type: 'send-attempt' }>): string[] {
    return ['request-id', attempt.arrival.callerRequestId];
  }

  override parseMetadata(_: number, headers: ReadonlyMap<string, string>, callerRequestId: string): front.upstreams.ResponseMetadata {
    return {
      echo: headers.get('request-id') === callerRequestId ? 'matched' : 'mismatched',
      execution: TestUpstreamDialect.parseExecution(headers),
      seal: headers.has('seal') ? 'present' : 'absent',
      statement: {
        load: undefined,
        limit: TestUpstreamDialect.parseLimit(headers.get('limit')),
        presence: headers.has('leaving') ? 'leaving' : 'staying',
      },
    };
  }

  private static parseLimit(text: string | undefined): gateway.upstreams.StatedLimit {
    return text === undefined ? { type: 'none' } : { type: 'stated', perSecond: Number(text) };
  }

  private static parseExecution(headers: ReadonlyMap<string, string>): front.upstreams.ResponseMetadata['execution'] {
    if (headers.has('misdirected')) return 'misdirected';
    return headers.has('not-run') ? 'not-run' : 'may-have-run';
  }
}
