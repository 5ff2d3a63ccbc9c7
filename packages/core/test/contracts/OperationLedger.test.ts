import * as core from '@tamarackferry/core';
import * as vitest from 'vitest';

import * as neverClosingEpochs from '../faults/NeverClosingEpochs.js';
import * as rerunningLedger from '../faults/RerunningLedger.js';
import * as rules from '../faults/rules.js';
import * as testVm from '../TestVm.js';

const RETENTION = new core.contracts.AnswerRetentionPolicy();

function buildLedgerRules(maxEntries: number): Partial<core.vms.VmRules> {
  return rules.buildContractRules({
    createLedger: (epochs) => new core.contracts.OperationLedger({ epochs, retention: RETENTION, maxEntries }),
  });
}

function getPrefix(vm: testVm.TestVm): string | undefined {
  let prefix: string | undefined;
  vm.ledger.post({
    type: 'prefix-requested',
    requestId: 'p',
    replyTo: {
      post: (reply) => {
        if (reply.type === 'prefix') prefix = reply.prefix;
      },
    },
  });
  return prefix;
}

/** Whether an operation of epoch 0 runs until its epoch closes after 600 s and is refused from then on. */
function checkClosedEpoch(options: testVm.TestVmOptions): boolean {
  const vm = new testVm.TestVm(options);
  const attemptCounts = [599_999, 600_000].map((atMs) => {
    vm.timers.advanceTo(atMs);
    vm.sendOrder(`r-${atMs}`, vm.buildId(`n${atMs}`));
    return vm.listAttempts().length;
  });
  return attemptCounts.join() === '1,1' && vm.formatOutcome('r-600000') === 'unknown operation-epoch-closed';
}

/** Whether a request with the id of an operation that was not run receives the recorded outcome and does not run. */
function checkNotRunIsFinal(options: testVm.TestVmOptions): boolean {
  const vm = new testVm.TestVm(options);
  vm.sendOrder('r', vm.buildId('n'), { deadlineMs: 0 });
  vm.sendOrder('repeat', vm.buildId('n'));
  return vm.listAttempts().length === 0 && vm.formatOutcome('repeat') === 'not-run deadline-exceeded';
}

vitest.describe('OperationLedger', () => {
  vitest.it('runs no operation of a closed epoch (guards against duplicates whose record was removed)', () => {
    vitest.expect(checkClosedEpoch({})).toBe(true);
    const endless = rules.buildContractRules({ createEpochs: (startedAtMs) => new neverClosingEpochs.NeverClosingEpochs(startedAtMs) });
    vitest.expect(checkClosedEpoch({ rules: endless })).toBe(false);
  });

  vitest.it('records "not run" as a final outcome (guards against a late duplicate that runs)', () => {
    vitest.expect(checkNotRunIsFinal({})).toBe(true);
    const forgetful = rules.buildContractRules({
      createLedger: (epochs) => new rerunningLedger.RerunningLedger({ epochs, retention: RETENTION, maxEntries: 10 }),
    });
    vitest.expect(checkNotRunIsFinal({ rules: forgetful })).toBe(false);
  });

  vitest.it('evicts no entry of an admitted epoch and issues no prefix at 90% occupancy (guards against duplicates after an overload)', () => {
    const vm = new testVm.TestVm({ rules: buildLedgerRules(10) });
    const runOperation = (nonce: string): string => {
      vm.sendOrder(nonce, vm.buildId(nonce));
      vm.answerAttempt();
      return vm.formatOutcome(nonce);
    };
    const prefixes = Array.from({ length: 10 }, (_, index) => {
      const prefix = getPrefix(vm);
      runOperation(`n${index}`);
      return prefix;
    });
    vitest.expect(prefixes).toEqual([...Array.from({ length: 9 }, () => 'vm-1.vm-1x.0'), undefined]);
    vitest.expect(runOperation('fresh')).toBe('unknown ledger-full');
    vm.sendOrder('repeat', vm.buildId('n0'));
    vitest.expect(vm.formatOutcome('repeat')).toBe('answered');
    vm.timers.advanceTo(600_000);
    vitest.expect(getPrefix(vm)).toBe('vm-1.vm-1x.10');
    vm.ledger.post({ type: 'stop-issuing' });
    vitest.expect(getPrefix(vm)).toBe(undefined);
  });

  vitest.it('retains small answers only and rejects other requests with a used id (guards against swapped answers and unbounded memory)', () => {
    const vm = new testVm.TestVm();
    const answer = { status: 200, headers: [], body: new Uint8Array(16 * 1_024 + 1) };
    vm.sendOrder('large', vm.buildId('large'));
    vm.answerAttempt({ answer });
    vm.sendOrder('repeat', vm.buildId('large'));
    vitest.expect([vm.formatOutcome('large'), vm.formatOutcome('repeat')]).toEqual(['answered', 'unknown answer-not-kept']);
    vm.sendOrder('body', vm.buildId('large'), { digest: 'other' });
    vm.sendOrder('member', vm.buildId('large'), { member: 'archive' });
    vitest.expect([vm.formatOutcome('body'), vm.formatOutcome('member')])
      .toEqual(['not-run operation-id-reused', 'not-run operation-id-reused']);
    vm.sendOrder('gone', 'vm-1.other.0.n');
    vitest.expect(vm.formatOutcome('gone')).toBe('unknown home-gone');
  });
});
