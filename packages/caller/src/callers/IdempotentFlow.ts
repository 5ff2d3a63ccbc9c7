import * as neverthrow from 'neverthrow';

import type * as vms from '../vms/index.js';
import type * as outcomeReader from './OutcomeReader.js';
import * as requestFlow from './RequestFlow.js';

// The VMs already retry failed requests at the upstream within a retry budget.
// More attempts here would multiply the load on a failing service.
const MAX_UNKNOWN_OUTCOMES = 3;
const MIN_RETRY_DELAY_MS = 50;

/** Sends an idempotent request to one VM after another until it is answered, may not be retried, or is out of attempts or time. */
export class IdempotentFlow extends requestFlow.RequestFlow {
  private unknownOutcomeCount = 0;

  override async run(): Promise<requestFlow.FlowResult> {
    const addressSet = await this.findAddressSet();
    if (this.isCancelled()) return this.endWithFailure({ type: 'not-run', reason: 'cancelled' });
    if (addressSet === undefined) return this.runAfterDelay(MIN_RETRY_DELAY_MS, { type: 'not-run', reason: 'no-vm' });
    return this.sendWithFailover(this.options.addressBook.sortAddresses(addressSet.addresses));
  }

  private async sendWithFailover(addresses: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    const [target, ...others] = addresses;
    if (target === undefined) return this.runAfterDelay(MIN_RETRY_DELAY_MS, { type: 'not-run', reason: 'no-vm' });
    return this.handleOutcome(await this.sendTo(target, undefined), others);
  }

  private handleOutcome(outcome: outcomeReader.AttemptOutcome, others: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    switch (outcome.type) {
      case 'answered':
        return Promise.resolve(neverthrow.ok(outcome.answer));
      case 'refused':
        return outcome.reason === 'unreachable' ? this.sendWithFailover(others) : this.endWithFailure({ type: 'not-run', reason: outcome.reason });
      case 'not-run':
        if (outcome.retryAfterMs === undefined) return this.endWithFailure({ type: 'not-run', reason: outcome.reason });
        return this.runAfterDelay(Math.max(MIN_RETRY_DELAY_MS, outcome.retryAfterMs), { type: 'not-run', reason: outcome.reason });
      default:
        this.unknownOutcomeCount += 1;
        return this.unknownOutcomeCount >= MAX_UNKNOWN_OUTCOMES || this.isCancelled() || this.getRemainingMs() <= 0
          ? this.endWithFailure(outcome)
          : this.sendWithFailover(others);
    }
  }

  private async runAfterDelay(delayMs: number, failure: { readonly type: 'not-run'; readonly reason: string }): Promise<requestFlow.FlowResult> {
    if (this.getRemainingMs() <= delayMs) return this.endWithFailure(failure);
    await this.wait(delayMs);
    return this.isCancelled() ? this.endWithFailure({ type: 'not-run', reason: 'cancelled' }) : this.run();
  }

  // An earlier attempt with an unknown outcome may have run, so the request is reported as unknown even if a later one did not run.
  private endWithFailure(failure: { readonly type: 'not-run' | 'unknown'; readonly reason: string }): Promise<requestFlow.FlowResult> {
    const type = this.unknownOutcomeCount > 0 ? 'unknown' : failure.type;
    return Promise.resolve(neverthrow.err({ type, reason: failure.reason }));
  }
}
