import type * as contracts from '../contracts/index.js';
import * as places from '../places/index.js';
import type * as randomness from '../randomness/index.js';
import * as addressSelectionPolicy from './AddressSelectionPolicy.js';
import type * as admissionPolicy from './AdmissionPolicy.js';
import * as attemptEvaluator from './AttemptEvaluator.js';
import * as deadlinePolicy from './DeadlinePolicy.js';
import * as fairAdmissionPolicy from './FairAdmissionPolicy.js';
import type * as hedgePolicy from './HedgePolicy.js';
import * as idempotentRetryPolicy from './IdempotentRetryPolicy.js';
import * as kindMatcher from './KindMatcher.js';
import * as lookupsOnTimeCounter from './LookupsOnTimeCounter.js';
import type * as memberUnitCounter from './MemberUnitCounter.js';
import * as nonIdempotentRetryPolicy from './NonIdempotentRetryPolicy.js';
import * as retryBudget from './RetryBudget.js';
import type * as retryPolicy from './RetryPolicy.js';
import * as tailHedgePolicy from './TailHedgePolicy.js';
import * as weightedOnTimeCounter from './WeightedOnTimeCounter.js';

const MAX_QUEUED_PER_SERVICE = 500;

/** Factory of the policies used by the tasks that serve callers. A subclass can replace individual policies. */
export class CallerRules {
  /** Creates the evaluator of ended attempts. */
  createAttemptEvaluator(): attemptEvaluator.AttemptEvaluator {
    return new attemptEvaluator.AttemptEvaluator();
  }

  /**
   * Creates the policy for retries and hedges.
   * @param repeatability - Whether an upstream may run a request more than once.
   */
  createRetryPolicy(repeatability: contracts.RequestKind['repeatability']): retryPolicy.RetryPolicy {
    return repeatability === 'idempotent'
      ? new idempotentRetryPolicy.IdempotentRetryPolicy()
      : new nonIdempotentRetryPolicy.NonIdempotentRetryPolicy();
  }

  /** Creates the budget for the retries and hedges of one service. */
  createRetryBudget(): retryBudget.RetryBudget {
    return new retryBudget.RetryBudget();
  }

  /** Creates the policy for when slow requests are hedged. */
  createHedgePolicy(): hedgePolicy.HedgePolicy {
    return new tailHedgePolicy.TailHedgePolicy();
  }

  /** Creates the policy for the queue of one service. */
  createAdmissionPolicy(): admissionPolicy.AdmissionPolicy {
    return new fairAdmissionPolicy.FairAdmissionPolicy(MAX_QUEUED_PER_SERVICE);
  }

  /** Creates the policy for deadlines. */
  createDeadlinePolicy(): deadlinePolicy.DeadlinePolicy {
    return new deadlinePolicy.DeadlinePolicy();
  }

  /**
   * Creates the matcher for the kinds of one service.
   * @param kinds - Kinds that the service declares.
   */
  createKindMatcher(kinds: readonly contracts.RequestKind[]): kindMatcher.KindMatcher {
    return new kindMatcher.KindMatcher(kinds);
  }

  /** Creates the fronting set, which chooses the VMs to which callers of a service connect. */
  createFrontingSet(): places.FrontingSet {
    return new places.FrontingSet();
  }

  /**
   * Creates the policy that chooses the addresses in the answer to an address query.
   * @param random - Source of randomness.
   */
  createAddressSelectionPolicy(random: randomness.RandomSource): addressSelectionPolicy.AddressSelectionPolicy {
    return new addressSelectionPolicy.AddressSelectionPolicy(random);
  }

  /**
   * Creates the counter for the units of a member.
   * @param counting - Counting method that the member declares.
   */
  createMemberUnitCounter(counting: contracts.MemberContract['counting']): memberUnitCounter.MemberUnitCounter {
    return counting === 'weighted-on-time' ? new weightedOnTimeCounter.WeightedOnTimeCounter() : new lookupsOnTimeCounter.LookupsOnTimeCounter();
  }
}
