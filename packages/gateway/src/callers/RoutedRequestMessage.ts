import type * as configuration from '../contracts/Configuration.js';
import type * as attemptEnding from '../upstreams/AttemptEnding.js';
import type * as instanceEvidence from '../upstreams/InstanceEvidence.js';
import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as retryBudget from './RetryBudget.js';
import type * as quotaUsage from './QuotaUsage.js';
import type * as requestArrival from './RequestArrival.js';
import type * as serviceOutcomes from './ServiceOutcomes.js';

/** Message to the `RoutedRequestTask`. */
export type RoutedRequestMessage =
  | { readonly type: 'request-arrived'; readonly arrival: requestArrival.RequestArrival }
  // The caller disconnected.
  | { readonly type: 'caller-gone'; readonly requestId: string }
  | { readonly type: 'attempt-ended'; readonly attemptId: string; readonly ending: attemptEnding.AttemptEnding }
  | { readonly type: 'configuration-changed'; readonly configuration: configuration.Configuration }
  | { readonly type: 'instances-changed'; readonly records: readonly instanceRecord.InstanceRecord[] }
  // Freshness of the catalog: `stale` if neither the store nor another VM has recently confirmed that it is up to date.
  | { readonly type: 'catalog-state'; readonly state: 'current' | 'stale' }
  | { readonly type: 'deadline-reached'; readonly requestId: string }
  | { readonly type: 'hedge-due'; readonly requestId: string }
  // A request was held for the longest permitted time and the VM still has no configuration.
  | { readonly type: 'hold-expired'; readonly requestId: string }
  // Evidence was received from another VM.
  | {
    readonly type: 'peer-evidence';
    readonly from: string;
    readonly rows: readonly instanceEvidence.InstanceEvidence[];
    readonly outcomes: readonly serviceOutcomes.ServiceOutcome[];
  }
  // Another VM tells what it has sent for the tenants with a quota.
  | { readonly type: 'peer-usage'; readonly notice: quotaUsage.QuotaNotice }
  // The directory begins or ceases to return this VM to callers.
  | { readonly type: 'listing-changed'; readonly listed: 'listed' | 'unlisted' }
  // Timer: the usage of quotas is to be sent to the other VMs.
  | { readonly type: 'quota-due' }
  // The VM is being stopped. All requests must have an outcome at `endsAtMs`; until `acceptsUntilMs`, requests are accepted although they
  // may take longer than that.
  | { readonly type: 'stopping'; readonly acceptsUntilMs: number; readonly endsAtMs: number }
  // A reload of the settings changed the retry budget.
  | { readonly type: 'budget-changed'; readonly budget: retryBudget.RetryBudgetOptions }
  // Timer: evidence about instances is to be sent to the other VMs.
  | { readonly type: 'gossip-due' }
  // Timer: waiting requests are to be sent, or refused if they can no longer be answered in time.
  | { readonly type: 'queue-check-due' };
