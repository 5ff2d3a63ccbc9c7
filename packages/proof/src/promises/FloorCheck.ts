import type * as core from '@tamarackferry/core';

import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

// A VM cannot know at once that an instance has died, left or turned gray.
const UNKNOWN_FOR_MS = 5_000;

// Time for VMs that hear each other to correct ejections that they made at the same moment.
const UNION_WITHIN_MS = 5_000;

const RESTORED_WITHIN_MS = 10_000;

type MachineChange = Extract<worlds.WorldEvent, { type: 'machine-changed' }>['change'];

/** Checks that ejections leave the declared floor of healthy instances, per VM and over the VMs that hear each other. */
export class FloorCheck extends promiseCheck.PromiseCheck {
  private readonly ejected = new Map<string, ReadonlySet<string>>();

  private readonly floors = new Map<string, number>();

  private readonly unhealthySinceMs = new Map<upstreams.FakeInstance, number>();

  private readonly lowSinceMs = new Map<string, number>();

  private readonly services = new Set<string>();

  override handle(event: worlds.WorldEvent): void {
    switch (event.type) {
      case 'instance-changed':
        this.updateHealth(event.instance);
        break;
      case 'status':
        event.status.upstreams.forEach((status) => this.checkStatus(event.machine, status));
        break;
      case 'machine-changed':
        this.clearMachine(event.machine, event.change);
        break;
      case 'tick':
        this.checkUnions();
        break;
      default:
        break;
    }
  }

  private checkStatus(machine: vms.FakeMachine, status: core.upstreams.UpstreamStatus): void {
    const key = `${machine.endpoint.name} ${status.service}`;
    this.services.add(status.service);
    this.floors.set(key, status.floorInstances);
    const instances = this.view.listInstances(status.service);
    instances.forEach((instance) => this.updateHealth(instance));
    const before = this.ejected.get(key) ?? new Set();
    const ejected = new Set(status.instances.filter((instance) => instance.state === 'ejected').map((instance) => instance.name));
    this.ejected.set(key, ejected);
    const added = instances.filter((instance) => ejected.has(instance.endpoint.name) && !before.has(instance.endpoint.name));
    if (added.some((instance) => this.isHealthy(instance))) {
      const low = this.describeLow(instances, ejected, status.floorInstances);
      if (low !== undefined) this.recordViolation('P1', `${key} ejected ${added.map((instance) => instance.endpoint.name).join(' ')}: ${low}`);
    }
    this.checkRestored(key, instances, ejected);
  }

  // A VM knows which instances are live and warm, so ejections must end when others are missing.
  private checkRestored(key: string, instances: readonly upstreams.FakeInstance[], ejected: ReadonlySet<string>): void {
    const live = instances.filter((instance) => instance.getState() === 'live' && instance.isWarm());
    const remaining = live.filter((instance) => !ejected.has(instance.endpoint.name));
    this.checkLasting(`${key} restored`, remaining.length < Math.min(this.floors.get(key) ?? 0, live.length), RESTORED_WITHIN_MS, () => (
      `${key} keeps ${live.length - remaining.length} ejected with ${remaining.length} left of floor ${this.floors.get(key)}`
    ));
  }

  private checkUnions(): void {
    this.view.listGroups().forEach((group) => this.services.forEach((service) => {
      const keys = group.map((machine) => `${machine.endpoint.name} ${service}`).filter((key) => this.ejected.has(key));
      if (keys.length === 0) return;
      const union = new Set(keys.flatMap((key) => [...this.ejected.get(key)!]));
      const floor = Math.max(...keys.map((key) => this.floors.get(key) ?? 0));
      const low = union.size === 0 ? undefined : this.describeLow(this.view.listInstances(service), union, floor);
      this.checkLasting(`${group[0]!.endpoint.name} ${service} union`, low !== undefined, UNION_WITHIN_MS, () => `${service} over ${group.length} VMs: ${low}`);
    }));
  }

  private checkLasting(key: string, low: boolean, withinMs: number, describe: () => string): void {
    const nowMs = this.view.getNowMs();
    const sinceMs = this.lowSinceMs.get(key);
    if (!low) this.lowSinceMs.delete(key);
    else if (sinceMs === undefined) this.lowSinceMs.set(key, nowMs);
    else if (nowMs - sinceMs > withinMs) {
      this.recordViolation('P1', describe());
      this.lowSinceMs.set(key, Infinity);
    }
  }

  private describeLow(instances: readonly upstreams.FakeInstance[], ejected: ReadonlySet<string>, floor: number): string | undefined {
    const healthy = instances.filter((instance) => this.isHealthy(instance));
    const usable = healthy.filter((instance) => !ejected.has(instance.endpoint.name));
    return usable.length < Math.min(floor, healthy.length) ? `${usable.length} of ${healthy.length} healthy instances usable, floor ${floor}` : undefined;
  }

  private isHealthy(instance: upstreams.FakeInstance): boolean {
    return instance.isHealthy() || this.view.getNowMs() - (this.unhealthySinceMs.get(instance) ?? -Infinity) < UNKNOWN_FOR_MS;
  }

  private updateHealth(instance: upstreams.FakeInstance): void {
    if (instance.isHealthy()) this.unhealthySinceMs.delete(instance);
    else if (!this.unhealthySinceMs.has(instance)) this.unhealthySinceMs.set(instance, this.view.getNowMs());
  }

  private clearMachine(machine: vms.FakeMachine, change: MachineChange): void {
    const prefix = `${machine.endpoint.name} `;
    [...this.lowSinceMs.keys()].filter((key) => key.startsWith(prefix)).forEach((key) => this.lowSinceMs.delete(key));
    if (change === 'frozen' || change === 'thawed' || change === 'stopping') return;
    [...this.ejected.keys()].filter((key) => key.startsWith(prefix)).forEach((key) => this.ejected.delete(key));
  }
}
