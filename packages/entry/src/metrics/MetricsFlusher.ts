import * as core from '@tamarackferry/core';
import * as hotShots from 'hot-shots';

/** Message to the `MetricsFlusher`. */
export type MetricsMessage = Extract<core.vms.VmOutput, { type: 'evidence-flush' }>;

/** Options of a `MetricsFlusher`. */
export interface MetricsFlusherOptions {
  readonly host: string;
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  /** Called for the first error. */
  readonly onError: (text: string) => void;
}

// Fits one datagram in an Ethernet frame.
const MAX_DATAGRAM_BYTES = 1_400;

/** Owns the socket to StatsD and sends the evidence of members. */
export class MetricsFlusher extends core.tasks.Task<MetricsMessage> {
  private readonly client: hotShots.StatsD;

  private state: 'sending' | 'failing' = 'sending';

  /** @param options - Address of StatsD. */
  constructor(private readonly options: MetricsFlusherOptions) {
    super(options.scheduler);
    this.client = new hotShots.StatsD({
      host: options.host,
      port: options.port,
      prefix: 'tamarackferry.',
      maxBufferSize: MAX_DATAGRAM_BYTES,
      includeDataDogTags: false,
      errorHandler: (error) => this.handleError(error),
    });
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }

  /** @internal */
  override handle(message: MetricsMessage): void {
    const { flush } = message;
    const origin = { vm: flush.vm, incarnation: flush.incarnation };
    // A receiver finds lost flushes by gaps in the sequence of an incarnation.
    this.client.gauge('evidence.sequence', flush.sequence, origin);
    flush.counts.forEach((count) => this.sendCount(count, origin));
  }

  private sendCount(count: core.callers.EvidenceCount, origin: { vm: string; incarnation: string }): void {
    const tags = {
      ...origin, member: count.member, service: count.service, kind: count.kind,
    };
    const send = (outcome: string, value: number): void => {
      if (value > 0) this.client.increment('requests', value, { ...tags, outcome });
    };
    send('answered-on-time', count.answeredOnTime);
    send('answered-late', count.answeredLate);
    send('not-run', count.notRun);
    send('unknown', count.unknown);
    this.client.gauge('latency_ms.p50', count.latencyMs.p50, tags);
    this.client.gauge('latency_ms.p99', count.latencyMs.p99, tags);
    this.client.gauge('latency_ms.max', count.latencyMs.max, tags);
  }

  private handleError(error: Error): void {
    if (this.state === 'failing') return;
    this.state = 'failing';
    this.options.onError(`metrics cannot be sent, ${error.message}`);
  }
}
