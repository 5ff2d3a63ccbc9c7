import type * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';
import * as consola from 'consola/basic';

import type * as logOutput from './LogOutput.js';

// Maximum number of lines per event and second. Successful requests get fewer, since investigations need the failures.
const MAX_LINES_PER_EVENT = 40;
const EVENT_LINE_LIMITS: Readonly<Record<string, number>> = { 'request-answered': 5 };
const MAX_LINES_PER_SECOND = 120;

// Above this size lines are dropped, so that a slow reader of the log never delays a request.
const MAX_BUFFERED_BYTES = 256 * 1024;
const FLUSH_DELAY_MS = 200;
const SECOND_MS = 1_000;

/** Writes one JSON line per event, rate limited and without blocking. */
export class StructuredLog implements core.tasks.Mailbox<{ readonly type: 'flush' }> {
  private readonly formatter = consola.createConsola({
    level: 3, reporters: [{ log: (entry) => this.pushLine(JSON.stringify(entry.args[0])) }],
  });

  private lines: string[] = [];

  private bufferedBytes = 0;

  private state: 'idle' | 'scheduled' | 'writing' = 'idle';

  private secondStartMs = 0;

  private readonly lineCounts = new Map<string, number>();

  private lineCount = 0;

  private omittedLines = 0;

  /**
   * @param timers - Timer service of the process.
   * @param name - Name of the VM.
   * @param output - Destination of the lines.
   */
  constructor(
    private readonly timers: core.time.TimerService,
    private readonly name: string,
    private readonly output: logOutput.LogOutput,
  ) {}

  /**
   * Writes one line, or omits it if the rate limit of its event or of all events is reached.
   * @param event - Name of the event, listed in docs/OPERATIONS.md.
   * @param fields - Additional fields of the line.
   */
  write(event: string, fields: gateway.callers.LogFields): void {
    const nowMs = this.timers.getNowMs();
    if (nowMs - this.secondStartMs >= SECOND_MS) this.beginSecond(nowMs);
    const count = this.lineCounts.get(event) ?? 0;
    if (count >= (EVENT_LINE_LIMITS[event] ?? MAX_LINES_PER_EVENT) || this.lineCount >= MAX_LINES_PER_SECOND
      || this.bufferedBytes > MAX_BUFFERED_BYTES) {
      this.omittedLines += 1;
      return;
    }
    this.lineCounts.set(event, count + 1);
    this.lineCount += 1;
    this.formatter.log({
      ms: Math.round(nowMs), vm: this.name, event, ...fields,
    });
  }

  /** Writes all buffered lines before the process exits. */
  flush(): void {
    if (this.lines.length > 0) this.output.writeLast(this.takeLines());
  }

  /** @internal */
  post(): void {
    if (this.lines.length === 0) {
      this.state = 'idle';
      return;
    }
    this.state = 'writing';
    this.output.write(this.takeLines(), () => {
      this.state = 'idle';
      this.scheduleFlush();
    });
  }

  private pushLine(line: string): void {
    this.lines.push(line);
    this.bufferedBytes += line.length;
    this.scheduleFlush();
  }

  private scheduleFlush(): void {
    if (this.state !== 'idle' || this.lines.length === 0) return;
    this.state = 'scheduled';
    this.timers.subscribe({ mailbox: this, message: { type: 'flush' as const }, delayMs: FLUSH_DELAY_MS });
  }

  private takeLines(): string {
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.bufferedBytes = 0;
    return text;
  }

  private beginSecond(nowMs: number): void {
    this.secondStartMs = nowMs;
    this.lineCounts.clear();
    this.lineCount = 0;
    if (this.omittedLines === 0) return;
    const { omittedLines } = this;
    this.omittedLines = 0;
    this.formatter.log({
      ms: Math.round(nowMs), vm: this.name, event: 'lines-omitted', count: omittedLines,
    });
  }
}
