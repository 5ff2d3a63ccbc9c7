import * as core from '@tamarackferry/core';
import * as front from '@tamarackferry/front';
import * as vitest from 'vitest';

/** Log output that completes a write only when the test calls `completeWrite`. */
class DeferredOutput extends front.vms.LogOutput {
  readonly writes: string[] = [];

  private onWritten: () => void = () => undefined;

  override write(lines: string, onWritten: () => void): void {
    this.writeLast(lines);
    this.onWritten = onWritten;
  }

  override writeLast(lines: string): void {
    this.writes.push(lines);
  }

  /** Completes the latest write. */
  completeWrite(): void {
    this.onWritten();
  }

  /** Lists the lines that were written. */
  listLines(): Record<string, unknown>[] {
    return this.writes.flatMap((lines) => lines.trimEnd().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>));
  }
}

vitest.describe('StructuredLog', () => {
  vitest.it('limits the lines per second, and logs the number of omitted lines', () => {
    const timers = new core.time.VirtualTimerService();
    const output = new DeferredOutput();
    const log = new front.vms.StructuredLog(timers, 'vm1', output);
    Array.from({ length: 500 }, (_, index) => log.write('attempt-failed', { id: `q${index}` }));
    log.write('store-lost', {});
    timers.advanceTo(1_100);
    log.write('store-reached', {});
    output.completeWrite();
    timers.advanceTo(2_000);
    const lines = output.listLines();
    vitest.expect(lines.filter((line) => line['event'] === 'attempt-failed')).toHaveLength(40);
    vitest.expect(lines.filter((line) => line['event'] === 'store-lost')).toHaveLength(1);
    vitest.expect(lines).toContainEqual({
      ms: 1_100, vm: 'vm1', event: 'lines-omitted', count: 460,
    });
  });

  vitest.it('does not block on a write that never completes, and limits the size of the buffer', () => {
    const timers = new core.time.VirtualTimerService();
    const output = new DeferredOutput();
    const log = new front.vms.StructuredLog(timers, 'vm1', output);
    Array.from({ length: 200 }, (_, second) => {
      timers.advanceTo(second * 1_000);
      return Array.from({ length: 40 }, () => log.write('store-lost', { detail: 'x'.repeat(200) }));
    });
    vitest.expect(output.writes).toHaveLength(1);
    output.completeWrite();
    timers.advanceTo(300_000);
    vitest.expect(output.writes[1]!.length).toBeLessThan(300_000);
  });
});
