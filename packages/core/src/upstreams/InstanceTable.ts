import type * as contracts from '../contracts/index.js';
import type * as vms from '../vms/index.js';
import * as concurrencyLimit from './ConcurrencyLimit.js';
import type * as drainRecord from './DrainRecord.js';
import * as instance from './Instance.js';
import type * as instanceRetentionPolicy from './InstanceRetentionPolicy.js';

/** Options of an `InstanceTable`; it shares the drain record with its task. */
export interface InstanceTableOptions {
  readonly drains: drainRecord.DrainRecord;
  readonly retentionPolicy: instanceRetentionPolicy.InstanceRetentionPolicy;
  readonly contract: contracts.ServiceContract;
}

/** Instances of one service that this VM uses, by name; of each instance only one incarnation. */
export class InstanceTable {
  private readonly options: InstanceTableOptions;

  private readonly byName = new Map<string, instance.Instance>();

  // Times at which the retained instances vanished from the list, by the name of the instance.
  private readonly retainedSinceMs = new Map<string, number>();

  private all: readonly instance.Instance[] = [];

  private slots: number;

  // `no-list`: no list with instances was applied yet. The instances of the first such list count as warm, because they may have been
  // running before this VM started.
  private history: 'no-list' | 'listed' = 'no-list';

  /** @param options - Drain record, retention policy and contract of the service. */
  constructor(options: InstanceTableOptions) {
    this.options = options;
    this.slots = options.contract.slotsPerInstance;
  }

  /** Lists all instances, also those out of rotation. */
  list(): readonly instance.Instance[] {
    return this.all;
  }

  /**
   * Gets an instance by name.
   * @param name - Name of the instance.
   */
  get(name: string): instance.Instance | undefined {
    return this.byName.get(name);
  }

  /**
   * Sets the number of slots of each instance after the contract changed.
   * @param slots - Requests that one instance serves concurrently.
   */
  setSlots(slots: number): void {
    this.slots = slots;
    this.all.forEach((each) => each.limit.setSlots(slots));
  }

  /** Removes all instances. Attempts in flight still refer to theirs until they end. */
  clear(): void {
    this.all.forEach((each) => this.remove(each));
    this.all = [];
  }

  /**
   * Applies a new list of instances from the platform. Incarnations that are already in the table keep their state.
   * @param entries - Entries of this service.
   * @param nowMs - Current time, in milliseconds.
   * @returns Entries that the list marks as leaving.
   */
  applyList(entries: readonly vms.UpstreamListEntry[], nowMs: number): readonly vms.UpstreamListEntry[] {
    const chosen = this.chooseEntries(entries);
    this.applyVanished(chosen, nowMs);
    const coldSinceMs = this.history === 'no-list' ? -Infinity : nowMs;
    chosen.forEach((entry) => this.applyEntry(entry, coldSinceMs));
    if (chosen.size > 0) this.history = 'listed';
    this.all = [...this.byName.values()];
    this.options.drains.prune(entries.map((entry) => ({ instance: entry.name, incarnation: entry.incarnation })));
    return entries.filter((entry) => entry.state === 'leaving');
  }

  /** Marks the instances whose incarnation is in the drain record. */
  applyDrains(): void {
    this.all.forEach((each) => {
      if (this.options.drains.has({ instance: each.address.name, incarnation: each.address.incarnation })) each.markLeaving();
    });
  }

  /**
   * Removes the retained instances that the retention policy no longer keeps.
   * @param nowMs - Current time, in milliseconds.
   * @returns Whether any instance was removed.
   */
  expire(nowMs: number): 'changed' | 'unchanged' {
    if (this.retainedSinceMs.size === 0) return 'unchanged';
    const expired = this.all.filter((each) => each.listing === 'retained'
      && !this.options.retentionPolicy.shouldKeep(each, this.retainedSinceMs.get(each.address.name) ?? nowMs, nowMs));
    expired.forEach((each) => this.remove(each));
    this.all = [...this.byName.values()];
    return expired.length === 0 ? 'unchanged' : 'changed';
  }

  // While an instance is being replaced, the list may contain two of its incarnations; the one that is not leaving is used.
  private chooseEntries(entries: readonly vms.UpstreamListEntry[]): Map<string, vms.UpstreamListEntry> {
    const chosen = new Map<string, vms.UpstreamListEntry>();
    entries.forEach((entry) => {
      if (!chosen.has(entry.name) || !this.isLeaving(entry)) chosen.set(entry.name, entry);
    });
    return chosen;
  }

  private applyVanished(chosen: ReadonlyMap<string, vms.UpstreamListEntry>, nowMs: number): void {
    const addresses = new Set([...chosen.values()].map((entry) => `${entry.host}:${entry.port}`));
    const missing = this.all.filter((each) => !chosen.has(each.address.name));
    const listed = this.all.filter((each) => each.listing === 'listed' && each.state === 'live');
    const vanished = missing.filter((each) => each.listing === 'listed' && each.state === 'live');
    const retains = this.options.retentionPolicy.shouldRetain(listed, vanished);
    missing.forEach((each) => {
      // If another instance has the same host and port now, attempts at the old instance would reach the wrong one.
      const reused = addresses.has(`${each.address.host}:${each.address.port}`);
      if (reused || each.state === 'leaving' || (each.listing === 'listed' && !retains)) this.remove(each);
      else if (each.listing === 'listed') {
        each.markListing('retained');
        this.retainedSinceMs.set(each.address.name, nowMs);
      }
    });
  }

  private applyEntry(entry: vms.UpstreamListEntry, coldSinceMs: number): void {
    const address = {
      service: entry.service, name: entry.name, incarnation: entry.incarnation, host: entry.host, port: entry.port, place: entry.place,
    };
    const existing = this.byName.get(entry.name);
    if (existing?.address.incarnation === entry.incarnation) {
      existing.address = address;
      existing.markListing('listed');
      this.retainedSinceMs.delete(entry.name);
    } else {
      if (existing !== undefined) this.remove(existing);
      const limit = new concurrencyLimit.ConcurrencyLimit(this.slots);
      this.byName.set(entry.name, new instance.Instance({ address, coldSinceMs, limit }));
    }
  }

  private remove(removed: instance.Instance): void {
    this.byName.delete(removed.address.name);
    this.retainedSinceMs.delete(removed.address.name);
    removed.markListing('removed');
  }

  private isLeaving(entry: vms.UpstreamListEntry): boolean {
    return entry.state === 'leaving' || this.options.drains.has({ instance: entry.name, incarnation: entry.incarnation });
  }
}
