import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as rules from '../faults/rules.js';
import * as unlimitedRetryBudget from '../faults/UnlimitedRetryBudget.js';
import * as testVm from '../TestVm.js';

const REQUESTS = 400;

const ENDINGS = ['good', 'good', 'good', 'error', 'shed', 'refused', 'reset', 'truncated', 'mismatched', 'large', 'hanging', 'lost'] as const;

// Simulates one VM with hedging, callers that disconnect, and upstreams that end attempts in every possible way. Returns the violated
// invariants.
function listViolations(seed: number, slots: number, vmRules: Partial<core.vms.VmRules> = {}): readonly string[] {
  const random = new core.randomness.SeededRandomSource(seed);
  const vm = new testVm.TestVm({ slots, hedgeAfterMs: 40, rules: vmRules });
  const mayHaveRun = new Set<string>();
  const events: { readonly atMs: number; readonly apply: () => void }[] = [];
  let processedOutputs = 0;
  const endAttempt = (nowMs: number, { attemptId, requestId }: { readonly attemptId: string; readonly requestId: string }): void => {
    const ending = random.pickItem(ENDINGS)!;
    if (ending !== 'shed' && ending !== 'refused') mayHaveRun.add(requestId);
    const atMs = nowMs + (ending === 'hanging' ? 5_000 : random.drawInteger(120));
    events.push({
      atMs,
      apply: () => {
        if (ending === 'lost') return;
        if (ending === 'refused' || ending === 'reset' || ending === 'truncated') vm.endAttempt({ type: ending }, attemptId);
        else if (ending === 'large') {
          vm.requests.post({ type: 'attempt-overflowed', attemptId, echo: 'matched' });
          events.push({ atMs: atMs + 50, apply: () => vm.endAttempt({ type: 'streamed' }, attemptId) });
        } else {
          const answer = { status: ending === 'error' ? 500 : 200, headers: [], body: new Uint8Array() };
          vm.answerAttempt({ answer, echo: ending === 'mismatched' ? ending : 'matched', notRun: ending === 'shed' ? ending : undefined }, attemptId);
        }
      },
    });
  };
  Array.from({ length: 12_000 }, (_, step) => step * 5).forEach((nowMs) => {
    vm.timers.advanceTo(nowMs);
    events.splice(0).forEach((event) => (event.atMs <= nowMs ? event.apply() : events.push(event)));
    const index = nowMs / 15;
    if (index < REQUESTS && Number.isInteger(index)) {
      const requestId = `r-${index}`;
      const member = random.pickItem(['museum', 'archive', 'school'])!;
      if (random.drawFraction() < 0.4) vm.sendOrder(requestId, vm.buildId(`n-${index}`), { member });
      else vm.sendRead(requestId, { member });
      if (random.drawFraction() < 0.1) {
        events.push({ atMs: nowMs + random.drawInteger(100), apply: () => vm.requests.post({ type: 'caller-gone', requestId }) });
      }
    }
    if (nowMs === 15 * REQUESTS) vm.stop();
    vm.outputs.slice(processedOutputs).forEach((output) => {
      if (output.type === 'send-attempt') endAttempt(nowMs, output);
      if (output.type === 'cancel-attempt') events.push({ atMs: nowMs, apply: () => vm.endAttempt({ type: 'cancelled', confirmation: 'silent' }, output.attemptId) });
    });
    processedOutputs = vm.outputs.length;
  });
  const ids = Array.from({ length: REQUESTS }, (_, index) => `r-${index}`);
  const extraAttempts = vm.listAttempts().length - new Set(vm.listAttempts().map((attempt) => attempt.requestId)).size;
  return [
    ...ids.filter((id) => vm.listOutcomes(id).length > 1).map((id) => `more than one outcome ${id}`),
    ...ids.filter((id) => mayHaveRun.has(id) && vm.formatOutcome(id).startsWith('not-run')).map((id) => `not-run although it may have run ${id}`),
    ...[...vm.observationsByAttempt].filter(([, observations]) => observations.length !== 1).map(([id]) => `attempt not observed exactly once ${id}`),
    ...vm.evidence.length === REQUESTS ? [] : [`requests counted: ${vm.evidence.length}`],
    ...vm.requestsEndedCount === 1 ? [] : ['stop not confirmed exactly once'],
    ...extraAttempts <= 0.1 * REQUESTS ? [] : ['too many attempts'],
  ];
}

vitest.describe('requests with upstream failures and disconnecting callers', () => {
  vitest.it.each([[1, 6], [2, 40], [3, 40]])('end exactly once, release every slot and stay within the retry budget, seed %i, %i slots (guards against requests and slots that leak between the classes of the request task)', (seed, slots) => {
    vitest.expect(listViolations(seed, slots)).toEqual([]);
  });

  vitest.it('detects an injected fault (guards against a check that cannot fail)', () => {
    const unlimited = rules.buildCallerRules({ createRetryBudget: () => new unlimitedRetryBudget.UnlimitedRetryBudget() });
    vitest.expect(listViolations(1, 40, unlimited)).toEqual(['too many attempts']);
  });
});
