import * as core from '@tamarackferry/core';
import * as hotShots from 'hot-shots';

/** Message to the `MetricsFlusher`. */
export type MetricsMessage = Extract<core.vms.VmOutput, { type: 'evidence-flush' }>;

/** Options of a `MetricsFlusher`. */
export interface MetricsFlusherOptions {
  /** Host of the StatsD server. */
  readonly host: string;
  /** UDP port of the StatsD server. */
  readonly port: number;
  readonly scheduler: core.tasks.TaskScheduler;
  /** Called with a log text for the first error only. */
  readonly onError: (text: string) => void;
}

// Keeps a datagram within one Ethernet frame.
const MAX_DATAGRAM_BYTES = 1_400;

/** Owns the socket to the StatsD server and sends the request counts and latencies of each member as metrics. */
export class MetricsFlusher extends core.tasks.Task<MetricsMessage> {
  private readonly client: hotShots.StatsD;

  private state: 'sending' | 'failing' = 'sending';

  /** @param options - Address of the StatsD server and the receiver of errors. */
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

  /** Sends the buffered metrics and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }

  /** @internal */
  override handle(message: MetricsMessage): void {
    const { flush } = message;
    const vmTags = { vm: flush.vm, incarnation: flush.incarnation };
    // A receiver detects lost flushes by gaps in the sequence numbers of an incarnation.
    this.client.gauge('evidence.sequence', flush.sequence, vmTags);
    flush.counts.forEach((count) => this.sendCount(count, vmTags));
  }

  private sendCount(count: core.callers.EvidenceCount, vmTags: { vm: string; incarnation: string }): void {
    const tags = {
      ...vmTags, member: count.member, service: count.service, kind: count.kind,
    };
    const sendRequestCount = (outcome: string, value: number): void => {
      if (value > 0) this.client.increment('requests', value, { ...tags, outcome });
    };
    sendRequestCount('answered-on-time', count.answeredOnTime);
    sendRequestCount('answered-late', count.answeredLate);
    sendRequestCount('not-run', count.notRun);
    sendRequestCount('unknown', count.unknown);
    this.client.gauge('latency_ms.p50', count.latencyMs.p50, tags);
    this.client.gauge('latency_ms.p99', count.latencyMs.p99, tags);
    this.client.gauge('latency_ms.max', count.latencyMs.max, tags);
  }

  private handleError(error: Error): void {
    if (this.state === 'failing') return;
    this.state = 'failing';
    this.options.onError(`metrics cannot be sent: ${error.message}`);
  }
}
