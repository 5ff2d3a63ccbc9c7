import * as core from '@tamarackferry/core';

/** Faulty rule: a VM serves as soon as it holds any document. */
export class HastyStartupCheck extends core.contracts.StartupCheck {
  override describeWait(facts: core.contracts.StartupFacts): string {
    return facts.held === undefined ? 'a document' : '';
  }
}
