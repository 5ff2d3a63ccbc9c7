import * as neverthrow from 'neverthrow';

import type * as vms from '../vms/index.js';
import type * as outcomeReader from './OutcomeReader.js';
import * as requestFlow from './RequestFlow.js';

// VMs retry within their budget; more tries here would multiply the load of a service that fails.
const MAX_UNKNOWN_TRIES = 3;
const LEAST_PAUSE_MS = 50;

/** Tries of a request that may run more than once. */
export class IdempotentFlow extends requestFlow.RequestFlow {
  private unknownTries = 0;

  override async run(): Promise<requestFlow.FlowResult> {
    const set = await this.findSet();
    if (this.isCancelled()) return neverthrow.err({ type: 'not-run', reason: 'cancelled' });
    if (set === undefined) return this.runAgain(LEAST_PAUSE_MS, { type: 'not-run', reason: 'no-vm' });
    return this.sendNext(this.options.book.sortAddresses(set.addresses));
  }

  private async sendNext(addresses: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    const [to, ...others] = addresses;
    if (to === undefined) return this.runAgain(LEAST_PAUSE_MS, { type: 'not-run', reason: 'no-vm' });
    return this.handleOutcome(await this.sendTo(to, undefined), others);
  }

  private handleOutcome(outcome: outcomeReader.TryOutcome, others: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    switch (outcome.type) {
      case 'answered':
        return Promise.resolve(neverthrow.ok(outcome.answer));
      case 'refused':
        return outcome.reason === 'unreachable' ? this.sendNext(others) : this.endWith({ type: 'not-run', reason: outcome.reason });
      case 'not-run':
        if (outcome.retryAfterMs === undefined) return this.endWith({ type: 'not-run', reason: outcome.reason });
        return this.runAgain(Math.max(LEAST_PAUSE_MS, outcome.retryAfterMs), { type: 'not-run', reason: outcome.reason });
      default:
        this.unknownTries += 1;
        return this.unknownTries >= MAX_UNKNOWN_TRIES || this.isCancelled() || this.getLeftMs() <= 0
          ? this.endWith(outcome)
          : this.sendNext(others);
    }
  }

  private async runAgain(delayMs: number, failure: { readonly type: 'not-run'; readonly reason: string }): Promise<requestFlow.FlowResult> {
    if (this.getLeftMs() <= delayMs) return this.endWith(failure);
    await this.wait(delayMs);
    return this.isCancelled() ? this.endWith({ type: 'not-run', reason: 'cancelled' }) : this.run();
  }

  // An earlier try may have run, so a later "not run" holds only for itself.
  private endWith(failure: { readonly type: 'not-run' | 'unknown'; readonly reason: string }): Promise<requestFlow.FlowResult> {
    const type = this.unknownTries > 0 ? 'unknown' : failure.type;
    return Promise.resolve(neverthrow.err({ type, reason: failure.reason }));
  }
}
