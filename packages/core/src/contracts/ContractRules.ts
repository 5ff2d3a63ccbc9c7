import * as answerRetentionPolicy from './AnswerRetentionPolicy.js';
import * as documentOrder from './DocumentOrder.js';
import * as operationEpochs from './OperationEpochs.js';
import * as operationLedger from './OperationLedger.js';
import type * as operationPolicy from './OperationPolicy.js';
import * as prefixedOperationPolicy from './PrefixedOperationPolicy.js';
import type * as requestKind from './RequestKind.js';
import * as startupPolicy from './StartupPolicy.js';
import * as unprefixedOperationPolicy from './UnprefixedOperationPolicy.js';

const MAX_LEDGER_ENTRIES = 200_000;

/** Factory of the policies for documents and operations. Subclasses in tests replace single policies. */
export class ContractRules {
  /**
   * Creates the epochs of an incarnation.
   * @param startedAtMs - Monotonic time at which the incarnation started, in milliseconds.
   */
  createEpochs(startedAtMs: number): operationEpochs.OperationEpochs {
    return new operationEpochs.OperationEpochs(startedAtMs);
  }

  /** Creates the policy for the answers that the ledger retains. */
  createAnswerRetentionPolicy(): answerRetentionPolicy.AnswerRetentionPolicy {
    return new answerRetentionPolicy.AnswerRetentionPolicy();
  }

  /**
   * Creates the ledger of an incarnation.
   * @param epochs - Epochs of the incarnation.
   */
  createLedger(epochs: operationEpochs.OperationEpochs): operationLedger.OperationLedger {
    return new operationLedger.OperationLedger({ epochs, retention: this.createAnswerRetentionPolicy(), maxEntries: MAX_LEDGER_ENTRIES });
  }

  /**
   * Creates the policy that decides whether requests of a kind go through the ledger.
   * @param repeatability - Whether the kind is idempotent.
   */
  createOperationPolicy(repeatability: requestKind.RequestKind['repeatability']): operationPolicy.OperationPolicy {
    return repeatability === 'idempotent'
      ? new unprefixedOperationPolicy.UnprefixedOperationPolicy()
      : new prefixedOperationPolicy.PrefixedOperationPolicy();
  }

  /** Creates the order of document versions. */
  createDocumentOrder(): documentOrder.DocumentOrder {
    return new documentOrder.DocumentOrder();
  }

  /** Creates the policy that decides when a starting VM may serve. */
  createStartupPolicy(): startupPolicy.StartupPolicy {
    return new startupPolicy.StartupPolicy(this.createDocumentOrder());
  }
}
