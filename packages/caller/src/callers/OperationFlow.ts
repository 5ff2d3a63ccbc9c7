import * as neverthrow from 'neverthrow';

import type * as vms from '../vms/index.js';
import type * as outcomeReader from './OutcomeReader.js';
import * as requestFlow from './RequestFlow.js';

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
// With these reasons, the home VM has no record of the operation id and will never have one, so a retry would give the same response.
const FINAL_UNKNOWN_REASONS = new Set(['operation-epoch-closed', 'home-gone', 'answer-not-kept']);

/** Options of an `OperationFlow`. */
export interface OperationFlowOptions extends requestFlow.RequestFlowOptions {
  /** Reads an operation prefix from another VM when the home VM is unreachable. */
  readonly addressReader: vms.AddressReader;
  /** Builds the last part of an operation id, which no other operation of any caller has. */
  readonly buildNonce: () => string;
}

/** One operation id, and the VM whose ledger records whether the operation ran. */
interface Operation {
  readonly id: string;
  readonly homeVm: vms.VmAddress;
  /** Whether a byte of a request with this id may have been written. */
  possiblyWritten: 'no' | 'yes';
}

/**
 * Sends a request that must not run more than once. The home VM of an operation id runs it at most once,
 * and a new id is created only if the operation with the previous id did not run.
 */
export class OperationFlow extends requestFlow.RequestFlow {
  private retryDelayMs = INITIAL_RETRY_DELAY_MS;

  /** @param operationOptions - Request and dependencies. */
  constructor(private readonly operationOptions: OperationFlowOptions) {
    super(operationOptions);
  }

  override async run(): Promise<requestFlow.FlowResult> {
    const addressSet = await this.findAddressSet();
    if (this.isCancelled()) return neverthrow.err({ type: 'not-run', reason: 'cancelled' });
    if (addressSet === undefined) return this.runAfterDelay(INITIAL_RETRY_DELAY_MS, 'no-vm');
    const others = this.options.addressBook.sortAddresses(addressSet.addresses);
    if (addressSet.operationPrefix === undefined) return this.findHomeVm(others);
    const homeVm = addressSet.addresses.find((address) => address.vm === addressSet.operationPrefix?.split('.')[0]) ?? addressSet.source;
    return this.runOperation(this.createOperation(addressSet.operationPrefix, homeVm), others);
  }

  // Uses the first VM that issues an operation prefix. A request without an operation id is never sent, since it could run more than once.
  private async findHomeVm(candidates: readonly vms.VmAddress[]): Promise<requestFlow.FlowResult> {
    const [source, ...others] = candidates;
    if (source === undefined) return this.runAfterDelay(INITIAL_RETRY_DELAY_MS, 'no-operation-prefix');
    if (this.isCancelled()) return neverthrow.err({ type: 'not-run', reason: 'cancelled' });
    const readResult = await this.operationOptions.addressReader.read(source, this.options.request.service, this.getRemainingMs());
    const prefix = readResult.map((addressSet) => addressSet.operationPrefix).unwrapOr(undefined);
    return prefix === undefined ? this.findHomeVm(others) : this.runOperation(this.createOperation(prefix, source), others);
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
        // No VM received this id, so a new id from another VM cannot make the operation run twice.
        return outcome.reason === 'unreachable'
          ? this.findHomeVm(others)
          : Promise.resolve(neverthrow.err({ type: 'not-run', reason: outcome.reason }));
      default:
        // eslint-disable-next-line no-param-reassign -- the operation belongs to this flow
        operation.possiblyWritten = 'yes';
        if (FINAL_UNKNOWN_REASONS.has(outcome.reason)) return Promise.resolve(neverthrow.err(outcome));
        return this.retryOperation(operation, others, outcome.reason);
    }
  }

  // Sends the request again with the same id, in turn to the other VMs, which forward it to the home VM, and to the home VM itself.
  private async retryOperation(operation: Operation, others: readonly vms.VmAddress[], reason: string): Promise<requestFlow.FlowResult> {
    if (this.isCancelled()) return neverthrow.err({ type: 'unknown', reason: 'cancelled' });
    if (this.getRemainingMs() <= this.retryDelayMs) return neverthrow.err({ type: 'unknown', reason });
    await this.wait(this.retryDelayMs);
    if (this.isCancelled()) return neverthrow.err({ type: 'unknown', reason: 'cancelled' });
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
    // The home VM is one of the VMs that are tried in turn.
    const targets = others.includes(operation.homeVm) ? others : [...others, operation.homeVm];
    const [next = operation.homeVm, ...rest] = targets;
    return this.handleOutcome(operation, [...rest, next], await this.sendTo(next, operation.id));
  }

  private handleNotRun(outcome: Extract<outcomeReader.AttemptOutcome, { type: 'not-run' }>): Promise<requestFlow.FlowResult> {
    if (outcome.retryAfterMs === undefined) return Promise.resolve(neverthrow.err({ type: 'not-run', reason: outcome.reason }));
    return this.runAfterDelay(Math.max(INITIAL_RETRY_DELAY_MS, outcome.retryAfterMs), outcome.reason);
  }

  private async runAfterDelay(delayMs: number, reason: string): Promise<requestFlow.FlowResult> {
    if (this.getRemainingMs() <= delayMs) return neverthrow.err({ type: 'not-run', reason });
    await this.wait(delayMs);
    return this.isCancelled() ? neverthrow.err({ type: 'not-run', reason: 'cancelled' }) : this.run();
  }

  private createOperation(prefix: string, homeVm: vms.VmAddress): Operation {
    return { id: `${prefix}.${this.operationOptions.buildNonce()}`, homeVm, possiblyWritten: 'no' };
  }
}
