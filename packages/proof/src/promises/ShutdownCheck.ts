import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

/** Checks that a graceful shutdown cuts no request, also none of callers that keep its address. */
export class ShutdownCheck extends promiseCheck.PromiseCheck {
  private readonly stopping = new Set<vms.FakeMachine>();

  private readonly stopped = new Set<vms.FakeMachine>();

  override handle(event: worlds.WorldEvent): void {
    switch (event.type) {
      case 'machine-changed':
        this.updateMachine(event);
        break;
      case 'connection-refused':
        if (this.stopped.has(event.machine) && event.address === 'valid') {
          this.recordViolation('P6', `${event.machine.endpoint.name} refused a caller whose address answer was valid`);
        }
        break;
      case 'outcome-told':
        if (this.stopping.has(event.machine) && event.address === 'valid' && event.outcome.type === 'not-run' && event.outcome.reason === 'stopping') {
          this.recordViolation('P6', `${event.machine.endpoint.name} turned away ${event.record.token} while its address answer was valid`);
        }
        break;
      default:
        break;
    }
  }

  private updateMachine(event: Extract<worlds.WorldEvent, { type: 'machine-changed' }>): void {
    const { machine, change } = event;
    this.stopping.delete(machine);
    this.stopped.delete(machine);
    if (change === 'stopping') this.stopping.add(machine);
    if (change !== 'stopped') return;
    this.stopped.add(machine);
    if (event.openRequests > 0) this.recordViolation('P6', `${machine.endpoint.name} stopped with ${event.openRequests} requests in flight`);
  }
}
