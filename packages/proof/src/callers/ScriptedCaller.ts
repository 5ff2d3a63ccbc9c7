import type * as core from '@tamarackferry/core';

import type * as callRecord from './CallRecord.js';
import type * as callerSurroundings from './CallerSurroundings.js';
import * as fakeCaller from './FakeCaller.js';

/** Caller of one request of a trace. Sends it only where the trace says and repeats nothing by itself. */
export class ScriptedCaller extends fakeCaller.FakeCaller {
  private waiting: readonly string[] = [];

  /**
   * @param record - Request of the trace.
   * @param random - Source of randomness.
   * @param way - Way to the VMs.
   */
  constructor(
    readonly record: callRecord.CallRecord,
    random: core.randomness.RandomSource,
    private readonly way: callerSurroundings.CallerSurroundings,
  ) {
    super(`scripted-${record.token}`, random, way);
  }

  /**
   * Gets an operation id from its home VM, then sends the request.
   * @param home - VM that issues the id.
   * @param vm - VM that the request is sent to.
   */
  beginAt(home: string, vm: string): void {
    if (this.record.options.kind.repeatability === 'idempotent' || this.record.operationId !== undefined) {
      this.sendAt(vm);
      return;
    }
    this.waiting = [...this.waiting, vm];
    this.way.fetchAddresses(this, home, this.record.service);
  }

  /**
   * Sends the request to a VM, once its operation id is known.
   * @param vm - VM that the request is sent to.
   */
  sendAt(vm: string): void {
    if (this.waiting.length > 0) this.waiting = [...this.waiting, vm];
    else this.way.send(this, this.record, { vm, address: undefined, tries: 0 });
  }

  override updateAddresses(_service: string, answer: core.vms.AddressAnswer): void {
    if (answer.type !== 'addresses' || answer.operationPrefix === undefined) return;
    this.record.setOperationId(`${answer.operationPrefix}.${this.record.token}`);
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((vm) => this.sendAt(vm));
  }

  override retryConnection(): void {}

  override retryReset(): void {}

  override retryWithPrefix(): void {}
}
