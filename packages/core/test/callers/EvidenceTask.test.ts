import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as testFleet from '../vms/TestFleet.js';

const { expect } = vitest;

const ORDER_KIND: core.contracts.RequestKind = {
  name: 'order', method: 'POST', pathPrefix: '/', repeatability: 'non-idempotent', priority: 'interactive', weight: 5, deadlineMs: 2_000, onTimeMs: 500,
};
const READ_KIND: core.contracts.RequestKind = {
  ...ORDER_KIND, name: 'read', repeatability: 'idempotent', weight: 1,
};

function startTask(): { task: core.callers.EvidenceTask; timers: core.time.VirtualTimerService; flushes: core.callers.EvidenceFlush[] } {
  const timers = new core.time.VirtualTimerService();
  const flushes: core.callers.EvidenceFlush[] = [];
  const [identity] = [new testFleet.TestFleet(1).addNode('vm-0').identity];
  // Only the dependencies that the task uses.
  const context = {
    identity,
    timers,
    scheduler: new core.tasks.TaskScheduler(),
    rules: { callers: new core.callers.CallerRules() },
    outbox: { post: (output: core.vms.VmOutput) => (output.type === 'evidence-flush' ? flushes.push(output.flush) : 0) },
  } as unknown as core.vms.VmContext;
  const task = new core.callers.EvidenceTask(context);
  const document = new core.contracts.TomlDocumentCodec(core.contracts.DocumentKeys.fromText('fleet-test').publicKey)
    .decode(testFleet.TestFleet.buildText(1))._unsafeUnwrap();
  task.post({ type: 'document-accepted', document });
  return { task, timers, flushes };
}

function getReport(task: core.callers.EvidenceTask, member: string): core.callers.MemberReport | undefined {
  const reports: core.callers.EvidenceReply[] = [];
  task.post({
    type: 'report-requested', queryId: 'q', member, replyTo: { post: (reply) => reports.push(reply) },
  });
  return reports[0]?.report;
}

vitest.describe('EvidenceTask', () => {
  vitest.it('counts served and requested units by the counting method of each member (guards against a report in units that the member did not declare)', () => {
    const { task } = startTask();
    ['museum', 'counter'].forEach((member) => {
      const ended = { type: 'request-ended', member, service: 'orders' } as const;
      task.post({
        ...ended, kind: ORDER_KIND, outcome: 'answered', latencyMs: 100,
      });
      task.post({
        ...ended, kind: ORDER_KIND, outcome: 'unknown', latencyMs: 2_000,
      });
      task.post({
        ...ended, kind: READ_KIND, outcome: 'answered', latencyMs: 501,
      });
      task.post({
        ...ended, kind: READ_KIND, outcome: 'answered', latencyMs: 500,
      });
    });
    expect(getReport(task, 'museum')).toMatchObject({ counting: 'weighted-on-time', served: 6, asked: 12 });
    expect(getReport(task, 'counter')).toMatchObject({ counting: 'lookups-on-time', served: 1, asked: 2 });
    expect(getReport(task, 'nobody')).toBeUndefined();
    expect(getReport(task, 'museum')?.counts.find((count) => count.kind === 'order')).toMatchObject({
      requests: 2, answeredOnTime: 1, unknown: 1, notRun: 0,
    });
  });

  vitest.it('flushes every second with consecutive sequence numbers, also without requests (guards against a lost flush being read as zero requests)', () => {
    const { task, timers, flushes } = startTask();
    task.post({
      type: 'request-ended', member: 'museum', service: 'orders', kind: ORDER_KIND, outcome: 'not-run', latencyMs: 70_000,
    });
    timers.advanceTo(3_000);
    expect(flushes.map((flush) => [flush.sequence, flush.counts.length])).toEqual([[1, 1], [2, 0], [3, 0]]);
    expect(flushes[0]?.counts[0]).toMatchObject({ notRun: 1, requests: 1 });
  });

  vitest.it('bounds the number of histograms (guards against unbounded memory when callers send arbitrary member and service names)', () => {
    const { task } = startTask();
    Array.from({ length: 2_000 }).forEach((_, index) => {
      task.post({
        type: 'request-ended', member: `m${index}`, service: 'orders', kind: ORDER_KIND, outcome: 'answered', latencyMs: 1,
      });
      task.post({
        type: 'request-ended', member: 'museum', service: `s${index}`, kind: ORDER_KIND, outcome: 'answered', latencyMs: 1,
      });
    });
    const report = getReport(task, 'museum');
    expect(report?.counts).toHaveLength(1_001);
    expect(report?.counts.reduce((sum, count) => sum + count.requests, 0)).toBe(2_000);
  });
});
