import * as dgram from 'node:dgram';
import * as core from '@tamarackferry/core';
import * as entry from '@tamarackferry/entry';
import * as vitest from 'vitest';

const FLUSH: core.callers.EvidenceFlush = {
  vm: 'vm-1',
  incarnation: 'i1',
  sequence: 7,
  counts: [{
    member: 'museum', service: 'orders', kind: 'status', requests: 3, answeredOnTime: 2, answeredLate: 0, notRun: 1, unknown: 0, latencyMs: { p50: 4, p99: 9, max: 11 },
  }],
};

vitest.describe('MetricsFlusher', () => {
  vitest.it('sends counts with the incarnation and the sequence number (guards against lost flushes that cannot be distinguished from flushes without requests)', async () => {
    const socket = dgram.createSocket('udp4');
    await new Promise<void>((resolve) => {
      socket.bind(0, '127.0.0.1', resolve);
    });
    let received = '';
    socket.on('message', (message) => {
      received += `${message.toString()}\n`;
    });
    const flusher = new entry.metrics.MetricsFlusher({
      host: '127.0.0.1', port: socket.address().port, scheduler: new core.tasks.TaskScheduler(), onError: () => undefined,
    });
    flusher.post({ type: 'evidence-flush', flush: FLUSH });
    await flusher.close();
    await vitest.vi.waitFor(() => vitest.expect(received).toContain('latency_ms.max'), { timeout: 20_000 });
    vitest.expect(received).toContain('tamarackferry.evidence.sequence:7|g|#vm:vm-1,incarnation:i1');
    vitest.expect(received).toContain('tamarackferry.requests:2|c|#vm:vm-1,incarnation:i1,member:museum,service:orders,kind:status,outcome:answered-on-time');
    socket.close();
  });

  vitest.it('accepts flushes while no StatsD server is reachable (guards against an unhandled socket error)', async () => {
    const flusher = new entry.metrics.MetricsFlusher({
      host: '127.0.0.1', port: 1, scheduler: new core.tasks.TaskScheduler(), onError: () => undefined,
    });
    flusher.post({ type: 'evidence-flush', flush: FLUSH });
    flusher.post({ type: 'evidence-flush', flush: FLUSH });
    await flusher.close();
  });
});
