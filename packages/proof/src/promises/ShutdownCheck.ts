import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

// Answers that name a leaving VM after this time come from VMs that cannot know that it leaves.
const KNOWN_WITHIN_MS = 4_000;

/** Checks that a graceful shutdown cuts no request, also none of callers that keep its address. */
export class ShutdownCheck extends promiseCheck.PromiseCheck {
  private readonly stopping = new Map<vms.FakeMachine, number>();

  private readonly stopped = new Set<vms.FakeMachine>();

  override handle(event: worlds.WorldEvent): void {
    switch (event.type) {
      case 'machine-changed':
        this.updateMachine(event);
        break;
      case 'connection-refused':
        if (this.stopped.has(event.machine) && this.isKept(event.machine, event.address)) {
          this.recordViolation('P6', `${event.machine.endpoint.name} refused a caller whose address answer was valid`);
        }
        break;
      case 'outcome-told':
        if (this.isKept(event.machine, event.address) && event.outcome.type === 'not-run' && event.outcome.reason === 'stopping') {
          this.recordViolation('P6', `${event.machine.endpoint.name} turned away ${event.record.token} while its address answer was valid`);
        }
        break;
      default:
        break;
    }
  }

  private isKept(machine: vms.FakeMachine, address: worlds.AddressUse): boolean {
    const stoppingMs = this.stopping.get(machine);
    return stoppingMs !== undefined && address.state === 'valid' && address.receivedAtMs <= stoppingMs + KNOWN_WITHIN_MS;
  }

  private updateMachine(event: Extract<worlds.WorldEvent, { type: 'machine-changed' }>): void {
    const { machine, change } = event;
    if (change === 'started' || change === 'killed') {
      this.stopping.delete(machine);
      this.stopped.delete(machine);
    }
    if (change === 'stopping') this.stopping.set(machine, this.view.getNowMs());
    if (change !== 'stopped') return;
    this.stopped.add(machine);
    if (event.openRequests > 0) this.recordViolation('P6', `${machine.endpoint.name} stopped with ${event.openRequests} requests in flight`);
  }
}
