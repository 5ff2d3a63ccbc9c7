import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as addressReader from './AddressReader.js';
import type * as vmAddress from './VmAddress.js';

// Addresses are refreshed after a random fraction of their validity: before they expire,
// and not at the same moment in all callers that started together.
const MIN_REFRESH_FRACTION = 0.6;
const REFRESH_FRACTION_JITTER = 0.2;
// Multiplied by a random factor, so that callers do not retry at the same moment.
const FAILED_REFRESH_BASE_DELAY_MS = 1_000;
const MIN_REFRESH_DELAY_MS = 200;
// For this time, an unreachable VM is tried only after all other VMs.
const UNREACHABLE_VM_PENALTY_MS = 5_000;

type ReadResult = neverthrow.Result<vmAddress.AddressSet, addressReader.AddressFailure>;

/** Message to the `AddressBook`. */
export type AddressMessage =
  | { readonly type: 'lookup'; readonly service: string; readonly replyTo: core.tasks.Mailbox<vmAddress.AddressSet | undefined> }
  | { readonly type: 'refresh-due'; readonly service: string }
  | { readonly type: 'read-completed'; readonly service: string; readonly untried: readonly vmAddress.VmAddress[]; readonly result: ReadResult }
  | { readonly type: 'vm-unreachable'; readonly address: vmAddress.VmAddress };

/** Options of an `AddressBook`. */
export interface AddressBookOptions {
  /** VMs to read addresses from when no others are known or the known ones are unreachable. */
  readonly seeds: readonly vmAddress.VmAddress[];
  readonly addressReader: addressReader.AddressReader;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
}

interface ServiceAddresses {
  /** Addresses from the last successful read. Kept after they expire, so that requests continue while no VM can be read. */
  addressSet: vmAddress.AddressSet | undefined;
  /** Lookups that wait for the first read to end. */
  waitingLookups: core.tasks.Mailbox<vmAddress.AddressSet | undefined>[];
  readState: 'idle' | 'reading';
  /** Whether a lookup arrived since the last refresh. Unused addresses are not refreshed. */
  usage: 'used' | 'unused';
  refreshTimer: core.time.TimerSubscription | undefined;
}

function formatAddress(address: vmAddress.VmAddress): string {
  return `${address.host}:${address.port}`;
}

/** Task that caches, per service, the addresses of the VMs to send requests to, and refreshes them while they are used. */
export class AddressBook extends core.tasks.Task<AddressMessage> {
  private readonly addressesByService = new Map<string, ServiceAddresses>();

  private readonly unreachableAtMs = new Map<string, number>();

  private state: 'open' | 'closed' = 'open';

  /** @param options - Seeds and dependencies. */
  constructor(private readonly options: AddressBookOptions) {
    super(new core.tasks.TaskScheduler());
  }

  /**
   * Finds the cached addresses of the VMs for a service, also expired ones, or reads them from a VM first.
   * Undefined if they could not be read from any VM.
   * @param service - Name of the service.
   */
  findAddressSet(service: string): Promise<vmAddress.AddressSet | undefined> {
    return new Promise((resolve) => {
      this.post({ type: 'lookup', service, replyTo: { post: resolve } });
    });
  }

  /**
   * Sorts addresses in random order, with the VMs that were unreachable recently at the end.
   * @param addresses - Addresses to sort.
   */
  sortAddresses(addresses: readonly vmAddress.VmAddress[]): readonly vmAddress.VmAddress[] {
    const sinceMs = this.options.timers.getNowMs() - UNREACHABLE_VM_PENALTY_MS;
    const isAvoided = (address: vmAddress.VmAddress): boolean => (this.unreachableAtMs.get(formatAddress(address)) ?? -Infinity) > sinceMs;
    const shuffled = this.options.random.shuffleItems(addresses);
    return [...shuffled.filter((address) => !isAvoided(address)), ...shuffled.filter(isAvoided)];
  }

  /** Stops all refreshes. */
  close(): void {
    this.state = 'closed';
    this.addressesByService.forEach((entry) => entry.refreshTimer?.cancel());
  }

  /** @internal */
  override handle(message: AddressMessage): void {
    switch (message.type) {
      case 'lookup':
        this.answerLookup(message.service, message.replyTo);
        break;
      case 'refresh-due':
        this.readIfUsed(message.service);
        break;
      case 'read-completed':
        this.handleReadResult(message.service, message.untried, message.result);
        break;
      case 'vm-unreachable':
        this.unreachableAtMs.set(formatAddress(message.address), this.options.timers.getNowMs());
        break;
      // no default
    }
  }

  private answerLookup(service: string, replyTo: core.tasks.Mailbox<vmAddress.AddressSet | undefined>): void {
    const entry: ServiceAddresses = this.addressesByService.get(service) ?? {
      addressSet: undefined, waitingLookups: [], readState: 'idle', usage: 'used', refreshTimer: undefined,
    };
    this.addressesByService.set(service, entry);
    entry.usage = 'used';
    if (entry.addressSet === undefined) {
      entry.waitingLookups.push(replyTo);
      this.startRead(service, entry);
      return;
    }
    replyTo.post(entry.addressSet);
    // Without a timer, the refreshes had stopped because the service was not used, so the addresses may have expired.
    if (entry.refreshTimer === undefined) this.startRead(service, entry);
  }

  private readIfUsed(service: string): void {
    const entry = this.addressesByService.get(service);
    if (entry === undefined) return;
    entry.refreshTimer = undefined;
    if (entry.usage === 'unused') return;
    entry.usage = 'unused';
    this.startRead(service, entry);
  }

  private startRead(service: string, entry: ServiceAddresses): void {
    if (entry.readState === 'reading' || this.state === 'closed') return;
    // eslint-disable-next-line no-param-reassign -- the entry belongs to this task
    entry.readState = 'reading';
    const knownAddresses = this.sortAddresses(entry.addressSet?.addresses ?? []);
    this.readFrom(service, [...knownAddresses, ...this.options.random.shuffleItems(this.options.seeds)]);
  }

  private readFrom(service: string, candidates: readonly vmAddress.VmAddress[]): void {
    const [source, ...untried] = candidates;
    if (source === undefined) {
      this.post({
        type: 'read-completed', service, untried, result: neverthrow.err('unreachable'),
      });
      return;
    }
    void this.options.addressReader.read(source, service).then((result) => {
      if (result.isErr() && result.error === 'unreachable') this.post({ type: 'vm-unreachable', address: source });
      this.post({
        type: 'read-completed', service, untried, result,
      });
    });
  }

  private handleReadResult(service: string, untried: readonly vmAddress.VmAddress[], result: ReadResult): void {
    const entry = this.addressesByService.get(service);
    if (entry === undefined) return;
    if (result.isErr() && untried.length > 0) {
      this.readFrom(service, untried);
      return;
    }
    entry.readState = 'idle';
    if (result.isOk()) entry.addressSet = result.value;
    const { waitingLookups, addressSet } = entry;
    entry.waitingLookups = [];
    waitingLookups.forEach((replyTo) => replyTo.post(addressSet));
    if (addressSet !== undefined) this.scheduleRefresh(service, entry, result);
  }

  private scheduleRefresh(service: string, entry: ServiceAddresses, result: ReadResult): void {
    if (this.state === 'closed') return;
    const refreshFraction = MIN_REFRESH_FRACTION + REFRESH_FRACTION_JITTER * this.options.random.drawFraction();
    const delayMs = result.isOk()
      ? Math.max(MIN_REFRESH_DELAY_MS, result.value.validForMs * refreshFraction)
      : FAILED_REFRESH_BASE_DELAY_MS * (0.5 + refreshFraction);
    // eslint-disable-next-line no-param-reassign -- the entry belongs to this task
    entry.refreshTimer = this.options.timers.subscribe({ mailbox: this, message: { type: 'refresh-due', service }, delayMs });
  }
}
