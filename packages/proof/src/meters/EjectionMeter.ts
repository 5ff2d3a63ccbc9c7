import type * as upstreams from '../upstreams/index.js';
import type * as worlds from '../worlds/index.js';

// An instance that was gray this recently is not taken for a healthy one.
const RECENT_FAULT_MS = 10_000;

interface InstanceHistory {
  readonly instance: upstreams.FakeInstance;
  /** VMs that hold it ejected. */
  readonly ejectedBy: Set<string>;
  /** Times at which the first VM ejected it, in milliseconds. */
  readonly ejectedAtMs: number[];
  falseEjections: number;
  lastFaultMs: number;
  firstFaultMs: number | undefined;
}

/** Tracks which instances the VMs eject, and which of them were healthy. */
export class EjectionMeter {
  private readonly histories = new Map<string, InstanceHistory>();

  /** @param view - Truth about the world. */
  constructor(private readonly view: worlds.WorldView) {}

  /**
   * Handles what happened.
   * @param event - Event of the world.
   */
  handle(event: worlds.WorldEvent): void {
    if (event.type === 'instance-changed') this.updateFault(event.instance);
    if (event.type === 'status') {
      const vm = event.machine.endpoint.name;
      event.status.upstreams.forEach((status) => this.view.listInstances(status.service).forEach((instance) => {
        const state = status.instances.find((candidate) => candidate.name === instance.endpoint.name)?.state;
        this.updateEjection(vm, instance, state === 'ejected' ? 'ejected' : 'in-rotation');
      }));
    }
    if (event.type === 'machine-changed' && (event.change === 'killed' || event.change === 'stopped')) {
      this.histories.forEach((history) => history.ejectedBy.delete(event.machine.endpoint.name));
    }
  }

  /** Counts how often a healthy instance was taken out by at least one VM. */
  countFalseEjections(): number {
    return [...this.histories.values()].reduce((sum, history) => sum + history.falseEjections, 0);
  }

  /**
   * Lists the times at which an instance went out of service at the first VM, in milliseconds.
   * @param name - Name of the instance.
   */
  listEjectionsMs(name: string): readonly number[] {
    return this.histories.get(name)?.ejectedAtMs ?? [];
  }

  /**
   * Gets the time of the first fault of an instance in milliseconds.
   * @param name - Name of the instance.
   */
  getFirstFaultMs(name: string): number | undefined {
    return this.histories.get(name)?.firstFaultMs;
  }

  private updateFault(instance: upstreams.FakeInstance): void {
    const history = this.getHistory(instance);
    history.lastFaultMs = this.view.getNowMs();
    if (!instance.isHealthy()) history.firstFaultMs ??= this.view.getNowMs();
  }

  private updateEjection(vm: string, instance: upstreams.FakeInstance, state: 'ejected' | 'in-rotation'): void {
    const history = this.histories.get(instance.endpoint.name);
    if (state === 'in-rotation') {
      history?.ejectedBy.delete(vm);
      return;
    }
    const known = history ?? this.getHistory(instance);
    if (known.ejectedBy.size === 0) {
      const nowMs = this.view.getNowMs();
      known.ejectedAtMs.push(nowMs);
      if (instance.isHealthy() && nowMs - known.lastFaultMs > RECENT_FAULT_MS) known.falseEjections += 1;
    }
    known.ejectedBy.add(vm);
  }

  private getHistory(instance: upstreams.FakeInstance): InstanceHistory {
    const { name } = instance.endpoint;
    const known = this.histories.get(name);
    if (known !== undefined) return known;
    const history: InstanceHistory = {
      instance, ejectedBy: new Set(), ejectedAtMs: [], falseEjections: 0, lastFaultMs: -Infinity, firstFaultMs: undefined,
    };
    this.histories.set(name, history);
    return history;
  }
}
