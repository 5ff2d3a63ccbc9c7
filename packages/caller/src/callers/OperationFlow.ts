import * as neverthrow from 'neverthrow';

import type * as vms from '../vms/index.js';
import type * as outcomeReader from './OutcomeReader.js';
import * as requestFlow from './RequestFlow.js';

const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
// With these reasons, the home VM has no record of the operation or of its answer and will never have one,
// so a retry would give the same response.
const UNRESOLVABLE_REASONS = new Set(['operation-epoch-closed', 'home-gone', 'answer-not-kept']);

/** Options of an `OperationFlow`. */
export interface OperationFlowOptions extends requestFlow.RequestFlowOptions {
  /** Reads an operation prefix from a VM if the cached addresses have none or the home VM is unreachable. */
  readonly addressReader: vms.AddressReader;
  /** Builds the last part of an operation id. No other operation of any caller has the same part. */
  readonly buildIdSuffix: () => string;
}

/** A non-idempotent request under one operation id. Its home VM, the VM that the id names, records whether the request ran. */
interface Operation {
  readonly id: string;
  readonly homeVm: vms.VmAddress;
  /** Whether bytes of a request with this id may have been written to a connection. */
  possiblyWritten: 'no' | 'yes';
}

/**
 * Sends a request that must not run more than once. Each operation id runs at most once, which its home VM ensures,
 * and a new id is created only if the request did not run under the previous one.
 */
export class OperationFlow extends requestFlow.RequestFlow {
  private retryDelayMs = MIN_RETRY_DELAY_MS;

  /** @param operationOptions - Request and dependencies. */
  constructor(private readonly operationOptions: OperationFlowOptions) {
    super(operationOptions);
  }

  override async run(): Promise<requestFlow.FlowResult> {
    const addressSet = await this.findAddressSet();
    if (this.isCancelled()) return neverthrow.err({ type: 'not-run', reason: 'cancelled' });
    if (addressSet === undefined) return this.runAfterDelay(MIN_RETRY_DELAY_MS, 'no-vm');
    const others = this.options.addressBook.sortAddresses(addressSet.addresses);
    if (addressSet.operationPrefix === undefined) return this.runWithNewPrefix(others);
    const homeVm = addressSet.addresses.find((address) => address.vm === addressSet.operationPrefix?.split('.')[0]) ?? addressSet.source;
    return this.runOperation(this.createOperation(addressSet.operationPrefix, homeVm), others);
  }

  // Uses the first VM that issues an operation prefix. Nothing is sent without an operation id, since it could run more than once.
  private async runWithNewPrefix(candidates: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    const [source, ...others] = candidates;
    if (source === undefined) return this.runAfterDelay(MIN_RETRY_DELAY_MS, 'no-operation-prefix');
    if (this.isCancelled()) return neverthrow.err({ type: 'not-run', reason: 'cancelled' });
    const readResult = await this.operationOptions.addressReader.read(source, this.options.request.service, this.getRemainingMs());
    const prefix = readResult.map((addressSet) => addressSet.operationPrefix).unwrapOr(undefined);
    return prefix === undefined ? this.runWithNewPrefix(others) : this.runOperation(this.createOperation(prefix, source), others);
  }

  private async runOperation(operation: Operation, others: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    const untried = others.filter((address) => address.host !== operation.homeVm.host || address.port !== operation.homeVm.port);
    return this.handleOutcome(operation, untried, await this.sendTo(operation.homeVm, operation.id));
  }

  private handleOutcome(
    operation: Operation,
    others: readonly vms.VmAddress[],
    outcome: outcomeReader.AttemptOutcome,
  ): Promise<requestFlow.FlowResult> {
    switch (outcome.type) {
      case 'answered':
        return Promise.resolve(neverthrow.ok(outcome.answer));
      case 'not-run':
        return this.handleNotRun(outcome);
      case 'refused':
        if (operation.possiblyWritten === 'yes') return this.retryOperation(operation, others, outcome.reason);
        // No VM received this id, so a new id from another VM cannot make the request run twice.
        return outcome.reason === 'unreachable'
          ? this.runWithNewPrefix(others)
          : Promise.resolve(neverthrow.err({ type: 'not-run', reason: outcome.reason }));
      default:
        // eslint-disable-next-line no-param-reassign -- the operation belongs to this flow
        operation.possiblyWritten = 'yes';
        if (UNRESOLVABLE_REASONS.has(outcome.reason)) return Promise.resolve(neverthrow.err(outcome));
        return this.retryOperation(operation, others, outcome.reason);
    }
  }

  // Retries with the same id, at each retry at the next VM. VMs other than the home VM forward the request to it.
  private async retryOperation(operation: Operation, others: readonly vms.VmAddress[], reason: string): Promise<requestFlow.FlowResult> {
    if (this.isCancelled()) return neverthrow.err({ type: 'unknown', reason: 'cancelled' });
    if (this.getRemainingMs() <= this.retryDelayMs) return neverthrow.err({ type: 'unknown', reason });
    await this.wait(this.retryDelayMs);
    if (this.isCancelled()) return neverthrow.err({ type: 'unknown', reason: 'cancelled' });
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
    // The home VM joins the rotation at the first retry.
    const targets = others.includes(operation.homeVm) ? others : [...others, operation.homeVm];
    const [next = operation.homeVm, ...rest] = targets;
    return this.handleOutcome(operation, [...rest, next], await this.sendTo(next, operation.id));
  }

  private handleNotRun(outcome: Extract<outcomeReader.AttemptOutcome, { type: 'not-run' }>): Promise<requestFlow.FlowResult> {
    if (outcome.retryAfterMs === undefined) return Promise.resolve(neverthrow.err({ type: 'not-run', reason: outcome.reason }));
    return this.runAfterDelay(Math.max(MIN_RETRY_DELAY_MS, outcome.retryAfterMs), outcome.reason);
  }

  private async runAfterDelay(delayMs: number, reason: string): Promise<requestFlow.FlowResult> {
    if (this.getRemainingMs() <= delayMs) return neverthrow.err({ type: 'not-run', reason });
    await this.wait(delayMs);
    return this.isCancelled() ? neverthrow.err({ type: 'not-run', reason: 'cancelled' }) : this.run();
  }

  private createOperation(prefix: string, homeVm: vms.VmAddress): Operation {
    return { id: `${prefix}.${this.operationOptions.buildIdSuffix()}`, homeVm, possiblyWritten: 'no' };
  }
}
