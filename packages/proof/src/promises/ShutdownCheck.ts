import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

// VMs that cannot hear the leaving one may name it to callers for this long.
const KNOWN_WITHIN_MS = 4_000;

interface Shutdown {
  readonly fromMs: number;
  /** VMs that may not know of it, since they were cut off, paused or started during it. */
  readonly deaf: Set<string>;
  state: 'stopping' | 'stopped';
}

/** Checks that a graceful shutdown cuts no request, also none of callers that keep its address. */
export class ShutdownCheck extends promiseCheck.PromiseCheck {
  private readonly shutdowns = new Map<vms.FakeMachine, Shutdown>();

  override handle(event: worlds.WorldEvent): void {
    switch (event.type) {
      case 'machine-changed':
        this.updateMachine(event);
        break;
      case 'connection-refused':
        if (this.shutdowns.get(event.machine)?.state === 'stopped' && this.isKept(event.machine, event.address)) {
          this.recordViolation('P6', `${event.machine.endpoint.name} refused a caller whose address answer was valid`);
        }
        break;
      case 'outcome-told':
        if (event.outcome.type === 'not-run' && event.outcome.reason === 'stopping' && this.isKept(event.machine, event.address)) {
          this.recordViolation('P6', `${event.machine.endpoint.name} turned away ${event.record.token} while its address answer was valid`);
        }
        break;
      case 'tick':
        this.updateDeaf();
        break;
      default:
        break;
    }
  }

  // Answers count if they came before the news could spread, or from a VM that had the news.
  private isKept(machine: vms.FakeMachine, address: worlds.AddressUse): boolean {
    const shutdown = this.shutdowns.get(machine);
    if (shutdown === undefined || address.state === 'expired') return false;
    return address.receivedAtMs <= shutdown.fromMs + KNOWN_WITHIN_MS || !shutdown.deaf.has(address.issuer);
  }

  private updateDeaf(): void {
    const stopping = [...this.shutdowns].filter(([, shutdown]) => shutdown.state === 'stopping');
    if (stopping.length === 0) return;
    const groups = this.view.listGroups();
    stopping.forEach(([machine, shutdown]) => {
      const hearing = new Set(groups.find((group) => group.includes(machine)) ?? []);
      this.view.listMachines().filter((other) => !hearing.has(other)).forEach((other) => shutdown.deaf.add(other.endpoint.name));
    });
  }

  private updateMachine(event: Extract<worlds.WorldEvent, { type: 'machine-changed' }>): void {
    const { machine, change } = event;
    this.shutdowns.forEach((shutdown) => shutdown.deaf.add(machine.endpoint.name));
    if (change === 'started' || change === 'killed') this.shutdowns.delete(machine);
    if (change === 'stopping') this.shutdowns.set(machine, { fromMs: this.view.getNowMs(), deaf: new Set(), state: 'stopping' });
    if (change !== 'stopped') return;
    const shutdown = this.shutdowns.get(machine);
    if (shutdown !== undefined) shutdown.state = 'stopped';
    if (event.openRequests > 0) this.recordViolation('P6', `${machine.endpoint.name} stopped with ${event.openRequests} requests in flight`);
  }
}
