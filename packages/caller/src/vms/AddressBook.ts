import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as addressReader from './AddressReader.js';
import type * as vmAddress from './VmAddress.js';

// Refreshes before the answer expires, spread so that callers that started together do not ask together.
const MIN_REFRESH_FRACTION = 0.6;
const REFRESH_FRACTION_JITTER = 0.2;
const FAILED_REFRESH_RETRY_MS = 1_000;
const MIN_REFRESH_DELAY_MS = 200;
// A VM that failed is used again only after the others, for this time.
const UNREACHABLE_VM_PENALTY_MS = 5_000;

type ReadResult = neverthrow.Result<vmAddress.AddressSet, addressReader.AddressFailure>;

/** Message to the `AddressBook`. */
export type AddressMessage =
  | { readonly type: 'lookup'; readonly service: string; readonly replyTo: core.tasks.Mailbox<vmAddress.AddressSet | undefined> }
  | { readonly type: 'refresh-due'; readonly service: string }
  | { readonly type: 'read-ended'; readonly service: string; readonly untried: readonly vmAddress.VmAddress[]; readonly result: ReadResult }
  | { readonly type: 'vm-unreachable'; readonly address: vmAddress.VmAddress };

/** Options of an `AddressBook`. */
export interface AddressBookOptions {
  readonly seeds: readonly vmAddress.VmAddress[];
  readonly reader: addressReader.AddressReader;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
}

interface ServiceAddresses {
  /** Last answer. Kept through an outage, also after its validity. */
  addressSet: vmAddress.AddressSet | undefined;
  waitingLookups: core.tasks.Mailbox<vmAddress.AddressSet | undefined>[];
  readState: 'idle' | 'reading';
  usage: 'used' | 'unused';
  refreshTimer: core.time.TimerSubscription | undefined;
}

function formatAddress(address: vmAddress.VmAddress): string {
  return `${address.host}:${address.port}`;
}

/** Owns the addresses of the VMs of each service that the client uses. */
export class AddressBook extends core.tasks.Task<AddressMessage> {
  private readonly addressesByService = new Map<string, ServiceAddresses>();

  private readonly unreachableAtMs = new Map<string, number>();

  private state: 'open' | 'closed' = 'open';

  /** @param options - Seeds and surroundings. */
  constructor(private readonly options: AddressBookOptions) {
    super(new core.tasks.TaskScheduler());
  }

  /**
   * Finds the VMs of a service. Undefined if no VM answered yet.
   * @param service - Name of the service.
   */
  findAddressSet(service: string): Promise<vmAddress.AddressSet | undefined> {
    return new Promise((resolve) => {
      this.post({ type: 'lookup', service, replyTo: { post: resolve } });
    });
  }

  /**
   * Sorts addresses: VMs that failed recently come last, the others in random order.
   * @param addresses - Addresses to sort.
   */
  sortAddresses(addresses: readonly vmAddress.VmAddress[]): readonly vmAddress.VmAddress[] {
    const sinceMs = this.options.timers.getNowMs() - UNREACHABLE_VM_PENALTY_MS;
    const hasFailed = (address: vmAddress.VmAddress): boolean => (this.unreachableAtMs.get(formatAddress(address)) ?? -Infinity) > sinceMs;
    const shuffled = this.options.random.shuffleItems(addresses);
    return [...shuffled.filter((address) => !hasFailed(address)), ...shuffled.filter(hasFailed)];
  }

  /** Ends all refreshes. */
  close(): void {
    this.state = 'closed';
    this.addressesByService.forEach((page) => page.refreshTimer?.cancel());
  }

  /** @internal */
  override handle(message: AddressMessage): void {
    switch (message.type) {
      case 'lookup':
        this.answerLookup(message.service, message.replyTo);
        break;
      case 'refresh-due':
        this.pollIfUsed(message.service);
        break;
      case 'read-ended':
        this.endRead(message.service, message.untried, message.result);
        break;
      case 'vm-unreachable':
        this.unreachableAtMs.set(formatAddress(message.address), this.options.timers.getNowMs());
        break;
      // no default
    }
  }

  private answerLookup(service: string, replyTo: core.tasks.Mailbox<vmAddress.AddressSet | undefined>): void {
    const page: ServiceAddresses = this.addressesByService.get(service) ?? {
      addressSet: undefined, waitingLookups: [], readState: 'idle', usage: 'used', refreshTimer: undefined,
    };
    this.addressesByService.set(service, page);
    page.usage = 'used';
    if (page.addressSet === undefined) {
      page.waitingLookups.push(replyTo);
      this.beginRead(service, page);
      return;
    }
    replyTo.post(page.addressSet);
    // The timer of a service that was not used has ended, and its answer may be old.
    if (page.refreshTimer === undefined) this.beginRead(service, page);
  }

  private pollIfUsed(service: string): void {
    const page = this.addressesByService.get(service);
    if (page === undefined) return;
    page.refreshTimer = undefined;
    if (page.usage === 'unused') return;
    page.usage = 'unused';
    this.beginRead(service, page);
  }

  private beginRead(service: string, page: ServiceAddresses): void {
    if (page.readState === 'reading' || this.state === 'closed') return;
    // eslint-disable-next-line no-param-reassign -- the page belongs to this task
    page.readState = 'reading';
    const known = this.sortAddresses(page.addressSet?.addresses ?? []);
    this.readFrom(service, [...known, ...this.options.random.shuffleItems(this.options.seeds)]);
  }

  private readFrom(service: string, candidates: readonly vmAddress.VmAddress[]): void {
    const [source, ...untried] = candidates;
    if (source === undefined) {
      this.post({
        type: 'read-ended', service, untried, result: neverthrow.err('unreachable'),
      });
      return;
    }
    void this.options.reader.read(source, service).then((result) => {
      if (result.isErr() && result.error === 'unreachable') this.post({ type: 'vm-unreachable', address: source });
      this.post({
        type: 'read-ended', service, untried, result,
      });
    });
  }

  private endRead(service: string, untried: readonly vmAddress.VmAddress[], result: ReadResult): void {
    const page = this.addressesByService.get(service);
    if (page === undefined) return;
    if (result.isErr() && untried.length > 0) {
      this.readFrom(service, untried);
      return;
    }
    page.readState = 'idle';
    if (result.isOk()) page.addressSet = result.value;
    const { waitingLookups: waiting, addressSet: set } = page;
    page.waitingLookups = [];
    waiting.forEach((mailbox) => mailbox.post(set));
    if (set !== undefined) this.scheduleRefresh(service, page, result);
  }

  private scheduleRefresh(service: string, page: ServiceAddresses, result: ReadResult): void {
    if (this.state === 'closed') return;
    const share = MIN_REFRESH_FRACTION + REFRESH_FRACTION_JITTER * this.options.random.drawFraction();
    const delayMs = result.isOk()
      ? Math.max(MIN_REFRESH_DELAY_MS, result.value.validForMs * share)
      : FAILED_REFRESH_RETRY_MS * (0.5 + share);
    // eslint-disable-next-line no-param-reassign -- the page belongs to this task
    page.refreshTimer = this.options.timers.subscribe({ mailbox: this, message: { type: 'refresh-due', service }, delayMs });
  }
}
