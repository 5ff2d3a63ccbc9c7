import type * as core from '@tamarackferry/core';

import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

const IN_FORCE_WITHIN_MS = 5_000;

interface Behind {
  readonly digest: string;
  readonly sinceMs: number;
}

function compareReferences(left: core.contracts.DocumentReference, right: core.contracts.DocumentReference): number {
  if (left.version !== right.version) return left.version - right.version;
  if (left.digest === right.digest) return 0;
  return left.digest < right.digest ? -1 : 1;
}

/** Checks that an accepted document is in force on all VMs that hear each other within the bound, and never goes back. */
export class ConfigurationCheck extends promiseCheck.PromiseCheck {
  private readonly accepted = new Map<vms.FakeMachine, core.contracts.DocumentReference>();

  private readonly behind = new Map<vms.FakeMachine, Behind>();

  private readonly reported = new Set<string>();

  /**
   * Gets the document in force on a VM.
   * @param machine - Machine of the VM.
   */
  getAccepted(machine: vms.FakeMachine): core.contracts.DocumentReference | undefined {
    return this.accepted.get(machine);
  }

  override handle(event: worlds.WorldEvent): void {
    if (event.type === 'document-accepted') this.updateAccepted(event.machine, event.reference);
    if (event.type === 'status' && event.status.configuration.document !== undefined) {
      this.updateAccepted(event.machine, event.status.configuration.document);
    }
    if (event.type === 'machine-changed') {
      this.behind.delete(event.machine);
      if (event.change === 'killed' || event.change === 'stopped' || event.change === 'started') this.accepted.delete(event.machine);
    }
    if (event.type === 'tick') this.checkGroups();
  }

  private updateAccepted(machine: vms.FakeMachine, reference: core.contracts.DocumentReference): void {
    const known = this.accepted.get(machine);
    if (known !== undefined && compareReferences(reference, known) < 0) {
      this.recordViolation('P7', `${machine.endpoint.name} went from version ${known.version} back to ${reference.version}`);
    }
    this.accepted.set(machine, reference);
  }

  private checkGroups(): void {
    const hearing = new Set<vms.FakeMachine>();
    this.view.listGroups().forEach((group) => {
      const references = group.map((machine) => this.accepted.get(machine)).filter((reference) => reference !== undefined);
      const newest = references.sort(compareReferences).at(-1);
      group.forEach((machine) => {
        hearing.add(machine);
        if (newest !== undefined) this.checkMachine(machine, newest);
      });
    });
    [...this.behind.keys()].filter((machine) => !hearing.has(machine)).forEach((machine) => this.behind.delete(machine));
  }

  private checkMachine(machine: vms.FakeMachine, newest: core.contracts.DocumentReference): void {
    const accepted = this.accepted.get(machine);
    if (accepted !== undefined && compareReferences(accepted, newest) >= 0) {
      this.behind.delete(machine);
      return;
    }
    const nowMs = this.view.getNowMs();
    const behind = this.behind.get(machine);
    if (behind === undefined || behind.digest !== newest.digest) {
      this.behind.set(machine, { digest: newest.digest, sinceMs: nowMs });
    } else if (nowMs - behind.sinceMs > IN_FORCE_WITHIN_MS && !this.reported.has(`${machine.endpoint.name} ${newest.digest}`)) {
      this.reported.add(`${machine.endpoint.name} ${newest.digest}`);
      this.recordViolation('P7', `${machine.endpoint.name} has version ${accepted?.version ?? 'none'} while a peer that it hears has ${newest.version}`);
    }
  }
}
