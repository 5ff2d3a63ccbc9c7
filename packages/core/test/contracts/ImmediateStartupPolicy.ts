import * as core from '@tamarackferry/core';

/** Faulty policy: a VM serves as soon as it holds any document. */
export class ImmediateStartupPolicy extends core.contracts.StartupPolicy {
  override describeWait(facts: core.contracts.StartupConditions): string {
    return facts.held === undefined ? 'a document' : '';
  }
}
