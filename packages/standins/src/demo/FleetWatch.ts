import * as core from '@tamarackferry/core';

import type * as demoVm from './DemoVm.js';

const POLL_PERIOD_MS = 250;
// VMs that eject at the same moment hear of each other by the next peer exchanges.
const UNION_WITHIN_MS = 5_000;

/** Message to the `FleetWatch`. */
export type WatchMessage =
  | { readonly type: 'poll-due' }
  | { readonly type: 'statuses-read'; readonly statuses: readonly core.vms.VmStatus[] };

/** Options of a `FleetWatch`. */
export interface FleetWatchOptions {
  /** Lists the entry processes that run at present. */
  readonly listVms: () => readonly demoVm.DemoVm[];
  readonly timers: core.time.TimerService;
}

/** What the status pages showed during a run. */
export interface WatchResult {
  /** Names of the ejected instances, once for each ejection at each VM. */
  readonly ejections: readonly string[];
  /** Descriptions of the floor breaches. */
  readonly breaches: readonly string[];
}

function describeBreach(
  instances: readonly core.upstreams.InstanceStatus[],
  ejected: ReadonlySet<string>,
  floor: number,
): string | undefined {
  const live = instances.filter((instance) => instance.state !== 'leaving');
  const usable = live.filter((instance) => !ejected.has(instance.name));
  return usable.length < Math.min(floor, live.length) ? `${usable.length} of ${live.length} instances usable, floor ${floor}` : undefined;
}

function listEjected(status: core.upstreams.UpstreamStatus): readonly string[] {
  return status.instances.filter((instance) => instance.state === 'ejected').map((instance) => instance.name);
}

/** Polls the status pages of the entry processes and checks ejections against the floors. */
export class FleetWatch extends core.tasks.Task<WatchMessage> {
  // Ejected instances at the last status page of each incarnation of a VM.
  private readonly ejected = new Map<string, ReadonlySet<string>>();

  private readonly ejections: string[] = [];

  private readonly breaches = new Set<string>();

  private readonly lowSinceMs = new Map<string, number>();

  private timer: core.time.TimerSubscription | undefined;

  private reading: 'idle' | 'reading' = 'idle';

  /** @param options - Entry processes to watch. */
  constructor(private readonly options: FleetWatchOptions) {
    super(new core.tasks.TaskScheduler());
  }

  /** Starts polling. */
  start(): void {
    this.timer = this.options.timers.subscribe({
      mailbox: this, message: { type: 'poll-due' }, delayMs: POLL_PERIOD_MS, periodMs: POLL_PERIOD_MS,
    });
  }

  /** Stops polling and gets what was seen. */
  stop(): WatchResult {
    this.timer?.cancel();
    return { ejections: [...this.ejections], breaches: [...this.breaches] };
  }

  /** @internal */
  override handle(message: WatchMessage): void {
    switch (message.type) {
      case 'poll-due':
        this.poll();
        break;
      case 'statuses-read':
        this.reading = 'idle';
        this.checkStatuses(message.statuses);
        break;
      // no default
    }
  }

  private poll(): void {
    if (this.reading === 'reading') return;
    this.reading = 'reading';
    void Promise.all(this.options.listVms().map((vm) => vm.fetchStatus())).then((statuses) => {
      this.post({ type: 'statuses-read', statuses: statuses.filter((status) => status !== undefined) });
    });
  }

  private checkStatuses(statuses: readonly core.vms.VmStatus[]): void {
    statuses.forEach(({ identity, upstreams }) => this.recordEjections(identity, upstreams.flatMap(listEjected)));
    statuses.forEach(({ identity, upstreams }) => upstreams.forEach((status) => {
      const breach = describeBreach(status.instances, new Set(listEjected(status)), status.floorInstances);
      if (breach !== undefined) this.breaches.add(`${identity.name} ${status.service}: ${breach}`);
    }));
    this.checkUnions(statuses);
  }

  private recordEjections({ name, incarnation }: core.vms.VmIdentity, ejected: readonly string[]): void {
    const before = this.ejected.get(`${name}.${incarnation}`);
    this.ejected.set(`${name}.${incarnation}`, new Set(ejected));
    this.ejections.push(...ejected.filter((instance) => before?.has(instance) !== true));
  }

  private checkUnions(statuses: readonly core.vms.VmStatus[]): void {
    const nowMs = this.options.timers.getNowMs();
    const all = statuses.flatMap((status) => status.upstreams);
    [...new Set(all.map((status) => status.service))].forEach((service) => {
      const views = all.filter((status) => status.service === service);
      const union = new Set(views.flatMap(listEjected));
      const breach = describeBreach(views[0]!.instances, union, Math.max(...views.map((status) => status.floorInstances)));
      if (breach === undefined) this.lowSinceMs.delete(service);
      else if (!this.lowSinceMs.has(service)) this.lowSinceMs.set(service, nowMs);
      else if (nowMs - this.lowSinceMs.get(service)! > UNION_WITHIN_MS) this.breaches.add(`all VMs ${service}: ${breach}`);
    });
  }
}
