import * as vitest from 'vitest';

import * as fifoAdmissionPolicy from '../faults/FifoAdmissionPolicy.js';
import * as rules from '../faults/rules.js';
import * as testVm from '../TestVm.js';

const SLOTS = 4;

const SERVICE_TIME_MS = 10;

// Four slots with 10 ms per request serve 400 requests per second. For 2 s one member sends 4,000 per second and the two others
// send 50 per second each, far below their shares. Returns the number of answers by member.
function countAnswers(options: testVm.TestVmOptions): ReadonlyMap<string, number> {
  const vm = new testVm.TestVm({ ...options, slots: SLOTS });
  const answered = new Map<string, number>();
  const inProgress: { readonly attemptId: string; readonly member: string; readonly endsAtMs: number }[] = [];
  let processedOutputs = 0;
  Array.from({ length: 3_000 }, (_, nowMs) => nowMs).forEach((nowMs) => {
    vm.timers.advanceTo(nowMs);
    if (nowMs < 2_000) {
      Array.from({ length: 4 }, (_, index) => vm.sendRead(`m-${nowMs}-${index}`, { member: 'museum' }));
      if (nowMs % 20 === 0) ['archive', 'school'].forEach((member) => vm.sendRead(`${member}-${nowMs}`, { member }));
    }
    inProgress.splice(0, inProgress.filter((attempt) => attempt.endsAtMs <= nowMs).length).forEach(({ attemptId, member }) => {
      vm.answerAttempt({}, attemptId);
      answered.set(member, (answered.get(member) ?? 0) + 1);
    });
    vm.outputs.slice(processedOutputs).forEach((output) => {
      if (output.type === 'send-attempt') inProgress.push({ attemptId: output.attemptId, member: output.request.member, endsAtMs: nowMs + SERVICE_TIME_MS });
    });
    processedOutputs = vm.outputs.length;
  });
  return answered;
}

function checkSmallMembers(options: testVm.TestVmOptions): boolean {
  const answered = countAnswers(options);
  return answered.get('archive') === 100 && answered.get('school') === 100 && (answered.get('museum') ?? 0) > 500;
}

vitest.describe('FairAdmissionPolicy', () => {
  vitest.it('serves all requests of other members while one member overloads the service (guards against a member that uses the capacity of others)', () => {
    vitest.expect(checkSmallMembers({})).toBe(true);
    const fifo = rules.buildCallerRules({ createAdmissionPolicy: () => new fifoAdmissionPolicy.FifoAdmissionPolicy(500) });
    vitest.expect(checkSmallMembers({ rules: fifo })).toBe(false);
  });

  vitest.it('divides the capacity of a saturated service in proportion to the shares of the members (guards against ignored shares)', () => {
    const vm = new testVm.TestVm({ slots: 1 });
    vm.sendRead('first');
    const order = ['museum', 'archive', 'school'].flatMap((member) => Array.from({ length: 60 }, (_, index) => `${member}-${index}`));
    order.forEach((requestId) => vm.sendRead(requestId, { member: requestId.split('-')[0]! }));
    Array.from({ length: 80 }, () => vm.answerAttempt());
    // The shares of the members are 1, 1 and 2.
    const served = vm.listAttempts().slice(1).map((attempt) => attempt.request.member);
    vitest.expect(['museum', 'archive', 'school'].map((member) => served.filter((name) => name === member).length)).toEqual([20, 20, 40]);
  });

  vitest.it('rejects requests at once that cannot be answered before their deadline (guards against work for callers that no longer wait)', () => {
    const vm = new testVm.TestVm({ slots: 1 });
    Array.from({ length: 30 }, (_, index) => vm.sendRead(`r-${index}`, { deadlineMs: 10_000 }));
    Array.from({ length: 20 }, (_, index) => index).forEach((index) => {
      vm.timers.advanceTo(100 * (index + 1));
      vm.answerAttempt();
    });
    vm.sendRead('short', { deadlineMs: 200 });
    vm.sendRead('long', { deadlineMs: 5_000 });
    vm.sendOrder('order', vm.buildId('n'), { deadlineMs: 200 });
    vm.sendOrder('retry', vm.buildId('n'), { deadlineMs: 5_000 });
    const notRun = 'not-run overloaded';
    vitest.expect(['short', 'long', 'order', 'retry'].map((name) => vm.formatOutcome(name))).toEqual([notRun, 'none', notRun, notRun]);
  });

  vitest.it('serves four interactive requests per background request (guards against starvation of the background class)', () => {
    const vm = new testVm.TestVm({ slots: 1 });
    vm.sendRead('first');
    Array.from({ length: 40 }, (_, index) => vm.sendRead(`b-${index}`, { path: '/read/report/1' }));
    Array.from({ length: 40 }, (_, index) => vm.sendRead(`i-${index}`));
    Array.from({ length: 20 }, () => vm.answerAttempt());
    const served = vm.listAttempts().slice(1).map((attempt) => attempt.request.path);
    vitest.expect(served.filter((path) => path === '/read/report/1').length).toBe(4);
  });

  vitest.it('admits requests of other members while one member fills its part of the request table (guards against a member whose requests never end)', () => {
    const vm = new testVm.TestVm();
    Array.from({ length: 6_000 }, (_, index) => vm.sendOrder(`f-${index}`, `vm-2.x.0.n${index}`));
    vm.sendRead('other', { member: 'archive' });
    vm.answerAttempt();
    vitest.expect([vm.formatOutcome('f-4999'), vm.formatOutcome('f-5000'), vm.formatOutcome('other')]).toEqual(['none', 'unknown overloaded', 'answered']);
  });
});
