import * as core from '@tamarackferry/core';

/** Defective variant for tests: a VM serves as soon as it holds any document. The test must fail with it. */
export class ImmediateStartupPolicy extends core.contracts.StartupPolicy {
  override describeWait(facts: core.contracts.StartupConditions): string {
    return facts.held === undefined ? 'a document' : '';
  }
}
