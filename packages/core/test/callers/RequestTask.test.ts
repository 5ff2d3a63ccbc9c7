import * as vitest from 'vitest';

import * as resetAsNotRunEvaluator from '../faults/ResetAsNotRunEvaluator.js';
import * as rules from '../faults/rules.js';
import * as uncheckedDeadlinePolicy from '../faults/UncheckedDeadlinePolicy.js';
import * as unlimitedRetryBudget from '../faults/UnlimitedRetryBudget.js';
import * as unsafeRetryPolicy from '../faults/UnsafeRetryPolicy.js';
import * as unverifiedAnswerEvaluator from '../faults/UnverifiedAnswerEvaluator.js';
import * as testVm from '../TestVm.js';

const UNKNOWN_RESULTS = [
  { type: 'reset' }, { type: 'timed-out' }, { type: 'truncated' }, { type: 'cancelled', confirmation: 'silent' }, { type: 'stream-broken' },
] as const;

// Earns two tokens for the retry budget with 20 requests, so that only the retry policy decides about the next retries.
function fillBudget(vm: testVm.TestVm): void {
  Array.from({ length: 20 }, (_, index) => index).forEach((index) => {
    vm.sendRead(`fill-${index}`);
    vm.answerAttempt();
  });
}

function checkSingleDispatch(options: testVm.TestVmOptions): boolean {
  return UNKNOWN_RESULTS.every((result) => {
    const vm = new testVm.TestVm(options);
    fillBudget(vm);
    vm.sendOrder('r', vm.buildId('n'));
    vm.endAttempt(result);
    return vm.listAttempts().filter((attempt) => attempt.request.method === 'POST').length === 1 && vm.formatOutcome('r').startsWith('unknown');
  });
}

function checkAnswerMatching(options: testVm.TestVmOptions): boolean {
  return (['mismatched', 'absent'] as const).every((echo) => {
    const vm = new testVm.TestVm(options);
    vm.sendRead('r');
    vm.answerAttempt({ echo });
    return vm.formatOutcome('r') === 'unknown answer-mismatched';
  });
}

function checkDeadlineBeforeSending(options: testVm.TestVmOptions): boolean {
  const vm = new testVm.TestVm({ ...options, slots: 1 });
  vm.sendRead('first');
  vm.sendOrder('second', vm.buildId('n'));
  // The process pauses until after the deadline, then handles the answer before the expired timer.
  vm.timers.moveTo(5_000);
  vm.answerAttempt();
  vm.sendOrder('retry', vm.buildId('n'));
  const notRun = 'not-run deadline-exceeded';
  return vm.listAttempts().length === 1 && vm.formatOutcome('second') === notRun && vm.formatOutcome('retry') === notRun;
}

function checkRetryLoad(options: testVm.TestVmOptions): boolean {
  const vm = new testVm.TestVm(options);
  Array.from({ length: 500 }, (_, index) => `r-${index}`).forEach((requestId) => {
    vm.sendRead(requestId);
    while (vm.formatOutcome(requestId) === 'none') vm.answerAttempt({ notRun: 'shed' });
  });
  return vm.listAttempts().length <= 550;
}

vitest.describe('RequestTask', () => {
  vitest.it('does not retry an operation that may have run (guards against a second execution)', () => {
    vitest.expect(checkSingleDispatch({})).toBe(true);
    vitest.expect(checkSingleDispatch({
      rules: rules.buildCallerRules({ createRetryPolicy: () => new unsafeRetryPolicy.UnsafeRetryPolicy() }),
    })).toBe(false);
    vitest.expect(checkSingleDispatch({
      rules: rules.buildCallerRules({ createAttemptEvaluator: () => new resetAsNotRunEvaluator.ResetAsNotRunEvaluator() }),
    })).toBe(false);
  });

  vitest.it('never returns an answer without the request id of its request (guards against swapped answers)', () => {
    vitest.expect(checkAnswerMatching({})).toBe(true);
    const unverified = rules.buildCallerRules({ createAttemptEvaluator: () => new unverifiedAnswerEvaluator.UnverifiedAnswerEvaluator() });
    vitest.expect(checkAnswerMatching({ rules: unverified })).toBe(false);
  });

  vitest.it('checks the deadline again before sending (guards against attempts that a paused VM sends after the deadline)', () => {
    vitest.expect(checkDeadlineBeforeSending({})).toBe(true);
    const unchecked = rules.buildCallerRules({ createDeadlinePolicy: () => new uncheckedDeadlinePolicy.UncheckedDeadlinePolicy() });
    vitest.expect(checkDeadlineBeforeSending({ rules: unchecked })).toBe(false);
  });

  vitest.it('limits retries to a tenth of the requests (guards against multiplied load on upstreams that shed requests)', () => {
    vitest.expect(checkRetryLoad({})).toBe(true);
    const unlimited = rules.buildCallerRules({ createRetryBudget: () => new unlimitedRetryBudget.UnlimitedRetryBudget() });
    vitest.expect(checkRetryLoad({ rules: unlimited })).toBe(false);
  });

  vitest.it('retries an operation at another instance once it is proven that it did not run (guards against avoidable failures)', () => {
    const vm = new testVm.TestVm();
    fillBudget(vm);
    vm.sendOrder('r', vm.buildId('n'));
    vm.endAttempt({ type: 'refused' });
    vm.answerAttempt({ notRun: 'shed' });
    vm.answerAttempt();
    vitest.expect(vm.formatOutcome('r')).toBe('answered');
    // The 20 requests of `fillBudget` and three attempts, each at another instance.
    vitest.expect(new Set(vm.listAttempts().map((attempt) => attempt.instance.name)).size).toBe(23);
    vitest.expect([...vm.observationsByAttempt.values()].flat().slice(-3)).toEqual(['refused', 'shed', 'on-time']);
  });

  vitest.it('returns a not-run answer as an ordinary answer if the contract declares no not-run answers (guards against retries without proof)', () => {
    const vm = new testVm.TestVm({ contract: { notRunAnswers: 'absent' } });
    vm.sendOrder('r', vm.buildId('n'));
    vm.answerAttempt({ notRun: 'shed' });
    vitest.expect(vm.formatOutcome('r')).toBe('answered');
  });

  vitest.it('continues an operation after the deadline of its caller (guards against a lost answer for retries by the caller)', () => {
    const vm = new testVm.TestVm();
    vm.sendOrder('r', vm.buildId('n'));
    vm.timers.advanceTo(1_000);
    vitest.expect(vm.formatOutcome('r')).toBe('unknown deadline-exceeded');
    vm.sendOrder('joined', vm.buildId('n'));
    vm.stop();
    vitest.expect(vm.requestsEndedCount).toBe(0);
    vm.answerAttempt();
    vm.sendOrder('later', vm.buildId('n'));
    vitest.expect([vm.formatOutcome('r'), vm.formatOutcome('joined'), vm.formatOutcome('later')])
      .toEqual(['unknown deadline-exceeded', 'answered', 'answered']);
    vitest.expect([vm.requestsEndedCount, vm.listAttempts().length]).toEqual([1, 1]);
  });

  vitest.it('reports `not-run` after a cancellation only if the upstream confirmed it (guards against a false `not-run`)', () => {
    const outcomes = (['confirmed-not-run', 'silent'] as const).map((confirmation) => {
      const vm = new testVm.TestVm();
      vm.sendOrder('r', vm.buildId('n'));
      vm.requests.post({ type: 'caller-gone', requestId: 'r' });
      vitest.expect(vm.outputs.at(-1)?.type).toBe('cancel-attempt');
      vm.endAttempt({ type: 'cancelled', confirmation });
      vm.sendOrder('retry', vm.buildId('n'));
      return vm.formatOutcome('retry');
    });
    vitest.expect(outcomes).toEqual(['not-run cancelled', 'unknown cancelled']);
  });

  vitest.it('reports `unknown` for a read if any of its attempts may have run (guards against a false `not-run`)', () => {
    const vm = new testVm.TestVm();
    fillBudget(vm);
    vm.sendRead('r');
    vm.endAttempt({ type: 'reset' });
    vm.endAttempt({ type: 'refused' });
    vm.endAttempt({ type: 'refused' });
    vitest.expect(vm.formatOutcome('r')).toBe('unknown upstream-reset');
  });

  vitest.it('hedges a slow read and releases the cancelled attempt once (guards against leaked slots)', () => {
    const vm = new testVm.TestVm({ hedgeAfterMs: 50 });
    fillBudget(vm);
    vm.sendRead('r');
    vm.timers.advanceTo(60);
    const [cancelled, answered] = vm.listAttempts().slice(-2);
    vm.answerAttempt({}, answered!.attemptId);
    vitest.expect(vm.outputs.at(-1)).toEqual({ type: 'cancel-attempt', attemptId: cancelled!.attemptId });
    vm.endAttempt({ type: 'cancelled', confirmation: 'silent' }, cancelled!.attemptId);
    vm.answerAttempt({}, cancelled!.attemptId);
    vitest.expect(vm.formatOutcome('r')).toBe('answered');
    vitest.expect([vm.observationsByAttempt.get(answered!.attemptId), vm.observationsByAttempt.get(cancelled!.attemptId)]).toEqual([['on-time'], ['withdrawn']]);
  });

  vitest.it('releases an attempt whose connection never reports a result (guards against leaked slots and a shutdown that never ends)', () => {
    const vm = new testVm.TestVm();
    vm.sendRead('r');
    vm.sendOrder('o', vm.buildId('n'));
    vm.stop();
    vm.timers.advanceTo(60_000);
    vitest.expect([...vm.observationsByAttempt.values()]).toEqual([['timed-out'], ['timed-out']]);
    vitest.expect([vm.requestsEndedCount, vm.evidence.length]).toEqual([1, 2]);
  });

  vitest.it('streams a large answer only if it belongs to the request, and counts a broken stream as `unknown` (guards against partial and swapped answers)', () => {
    const vm = new testVm.TestVm();
    vm.sendRead('r');
    const [attempt] = vm.listAttempts();
    vm.requests.post({ type: 'attempt-overflowed', attemptId: attempt!.attemptId, echo: 'matched' });
    vitest.expect(vm.outputs.at(-1)?.type).toBe('stream-attempt');
    vm.endAttempt({ type: 'stream-broken' });
    vitest.expect(vm.formatOutcome('r')).toBe('none');
    vitest.expect(vm.evidence.at(-1)).toMatchObject({ outcome: 'unknown' });
    vm.sendRead('s');
    vm.requests.post({ type: 'attempt-overflowed', attemptId: vm.listAttempts()[1]!.attemptId, echo: 'mismatched' });
    vitest.expect(vm.outputs.at(-1)?.type).toBe('cancel-attempt');
  });

  vitest.it('rejects requests with `not-run`, but operations of other home VMs with `unknown` (guards against `not-run` from a VM that is not the home)', () => {
    const vm = new testVm.TestVm();
    vm.sendOrder('no-id', undefined);
    vitest.expect(vm.listOutcomes('no-id')).toEqual([{
      type: 'not-run', reason: 'operation-id-required', retryAfterMs: 0, operationPrefix: 'vm-1.vm-1x.0',
    }]);
    vm.sendRead('service', { service: 'none' });
    vm.sendRead('kind', { path: '/other' });
    vm.sendRead('member', { member: 'none' });
    vm.sendOrder('id', 'no id');
    vm.sendOrder('away', 'vm-9.x.0.n');
    vm.requests.post({ type: 'peer-unknown', to: 'vm-9' });
    vm.stop();
    vm.sendRead('stopped');
    vm.sendOrder('stopped-home', vm.buildId('n'));
    vm.sendOrder('stopped-away', 'vm-9.x.0.n');
    const bare = new testVm.TestVm({ document: 'missing' });
    bare.sendRead('read');
    bare.sendOrder('home', bare.buildId('n'));
    bare.acceptDocument();
    bare.sendOrder('retry', bare.buildId('n'));
    vitest.expect(['service', 'kind', 'member', 'id', 'away', 'stopped', 'stopped-home', 'stopped-away'].map((name) => vm.formatOutcome(name))).toEqual([
      'not-run unknown-service', 'not-run unknown-kind', 'not-run unknown-member', 'not-run operation-id-invalid', 'unknown home-gone',
      'not-run stopping', 'not-run stopping', 'unknown stopping',
    ]);
    vitest.expect(['read', 'home', 'retry'].map((name) => bare.formatOutcome(name)))
      .toEqual(['not-run no-configuration', 'not-run no-configuration', 'not-run no-configuration']);
  });

  vitest.it('forwards an operation to its home VM and accepts an outcome only from that VM (guards against outcomes from other VMs and from earlier processes)', () => {
    const vm = new testVm.TestVm();
    vm.sendOrder('r', 'vm-2.x.0.n', { deadlineMs: 800 });
    vm.sendOrder('silent', 'vm-2.x.0.m');
    const [forward] = vm.peerMessages;
    vitest.expect(forward).toMatchObject({ to: 'vm-2', message: { type: 'operation-forwarded', request: { deadlineMs: 800, operationId: 'vm-2.x.0.n' } } });
    const { forwardId } = forward!.message as { readonly forwardId: string };
    const outcome = { type: 'not-run', reason: 'overloaded', retryAfterMs: 1 } as const;
    vm.requests.post({
      type: 'forward-ended', from: 'vm-3', forwardId, outcome,
    });
    vitest.expect(vm.formatOutcome('r')).toBe('none');
    vm.requests.post({
      type: 'forward-ended', from: 'vm-2', forwardId, outcome,
    });
    vm.timers.advanceTo(1_000);
    vitest.expect([vm.formatOutcome('r'), vm.formatOutcome('silent')]).toEqual(['not-run overloaded', 'unknown home-unreachable']);
    // The unanswered request is forwarded a second time, under the same id and with the remaining time to its deadline.
    vitest.expect(vm.peerMessages.slice(1).map(({ message }) => message.type === 'operation-forwarded' && message.request.deadlineMs)).toEqual([1_000, 500]);
  });

  vitest.it('answers a forwarded operation when it ends and never forwards it again (guards against loops between VMs)', () => {
    const vm = new testVm.TestVm();
    const request = {
      ...vm.buildRequest(), method: 'POST', path: '/order', operationId: vm.buildId('n'),
    };
    const forwarded = {
      type: 'forwarded', from: 'vm-2', forwardId: 'f', request,
    } as const;
    vm.requests.post(forwarded);
    vm.requests.post(forwarded);
    vm.answerAttempt();
    vm.requests.post(forwarded);
    vm.requests.post({ ...forwarded, forwardId: 'g', request: { ...request, operationId: 'vm-3.x.0.n' } });
    vitest.expect(vm.listAttempts().length).toBe(1);
    vitest.expect(vm.peerMessages.map(({ message }) => message.type === 'operation-ended' && message.outcome.type)).toEqual(['answered', 'answered', 'unknown']);
  });
});
