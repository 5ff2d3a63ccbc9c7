import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

const NO_WORK_AFTER_MS = 5_000;

interface DrainSeen {
  readonly instance: upstreams.FakeInstance;
  readonly incarnation: string;
  /** Since when each VM knows of the drain or hears one that does, in milliseconds. */
  readonly knownSinceMs: Map<vms.FakeMachine, number>;
  /** VMs that got the signal themselves. */
  readonly direct: Set<vms.FakeMachine>;
}

/** Checks that a leaving instance gets no work from VMs that have known of it, or heard one that has, for the bound. */
export class DrainCheck extends promiseCheck.PromiseCheck {
  private readonly drains = new Map<upstreams.FakeInstance, DrainSeen>();

  override handle(event: worlds.WorldEvent): void {
    switch (event.type) {
      case 'attempt-ended':
        if (event.result.type === 'answered' && (event.result.drain === 'leaving' || event.result.notRun === 'draining')) {
          this.markSeen(event.machine, event.instance);
        }
        break;
      case 'list-read':
        if (event.machine.getState() === 'running') this.markListed(event);
        break;
      case 'machine-changed':
        this.clearMachine(event);
        break;
      case 'attempt-sent':
        this.checkAttempt(event);
        break;
      case 'tick':
        this.updateHearing();
        break;
      default:
        break;
    }
  }

  private markListed(event: Extract<worlds.WorldEvent, { type: 'list-read' }>): void {
    event.entries.filter((entry) => entry.role === 'upstream').filter((entry) => entry.state === 'leaving').forEach((entry) => {
      const instance = this.view.listInstances(entry.service).find((candidate) => candidate.endpoint.name === entry.name);
      if (instance !== undefined && instance.incarnation === entry.incarnation) this.markSeen(event.machine, instance);
    });
  }

  private markSeen(machine: vms.FakeMachine, instance: upstreams.FakeInstance): void {
    if (instance.getState() !== 'leaving') return;
    const known = this.drains.get(instance);
    const drain: DrainSeen = known?.incarnation === instance.incarnation ? known : {
      instance, incarnation: instance.incarnation, knownSinceMs: new Map(), direct: new Set(),
    };
    this.drains.set(instance, drain);
    drain.direct.add(machine);
    if (!drain.knownSinceMs.has(machine)) drain.knownSinceMs.set(machine, this.view.getNowMs());
  }

  private clearMachine(event: Extract<worlds.WorldEvent, { type: 'machine-changed' }>): void {
    this.drains.forEach((drain) => {
      if (event.change !== 'stopping') drain.knownSinceMs.delete(event.machine);
      if (event.change === 'killed' || event.change === 'started' || event.change === 'stopped') drain.direct.delete(event.machine);
    });
  }

  private updateHearing(): void {
    if (this.drains.size === 0) return;
    const groups = this.view.listGroups();
    this.drains.forEach((drain) => groups.forEach((group) => {
      const informed = group.some((machine) => drain.direct.has(machine));
      group.forEach((machine) => {
        if (!informed) drain.knownSinceMs.delete(machine);
        else if (!drain.knownSinceMs.has(machine)) drain.knownSinceMs.set(machine, this.view.getNowMs());
      });
    }));
  }

  private checkAttempt(event: Extract<worlds.WorldEvent, { type: 'attempt-sent' }>): void {
    const drain = this.drains.get(event.instance);
    if (drain === undefined || event.instance.getState() !== 'leaving' || drain.incarnation !== event.instance.incarnation) return;
    const sinceMs = drain.knownSinceMs.get(event.machine);
    if (sinceMs !== undefined && this.view.getNowMs() - sinceMs > NO_WORK_AFTER_MS) {
      this.recordViolation('P5', `${event.machine.endpoint.name} sent work to ${event.instance.endpoint.name} ${Math.round(this.view.getNowMs() - sinceMs)} ms after its drain was known`);
    }
  }
}
