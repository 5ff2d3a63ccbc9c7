import type * as core from '@tamarackferry/core';

import * as callRecord from './CallRecord.js';
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
    // A request without an id is not run; its rejection carries the prefix of the VM that it reached.
    const rejected = new callRecord.CallRecord(`${this.record.token}-prefix`, this.record.options);
    this.way.send(this, rejected, { vm: home, address: undefined, tries: 0 });
  }

  /**
   * Sends the request to a VM, once its operation id is known.
   * @param vm - VM that the request is sent to.
   */
  sendAt(vm: string): void {
    if (this.waiting.length > 0) this.waiting = [...this.waiting, vm];
    else this.way.send(this, this.record, { vm, address: undefined, tries: 0 });
  }

  override updateAddresses(): void {}

  override retryConnection(): void {}

  override retryReset(): void {}

  override retryWithPrefix(_rejected: callRecord.CallRecord, prefix: string): void {
    this.record.setOperationId(`${prefix}.${this.record.token}`);
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((vm) => this.sendAt(vm));
  }
}
