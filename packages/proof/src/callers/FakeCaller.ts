import type * as core from '@tamarackferry/core';

import type * as links from '../links/index.js';
import type * as callRecord from './CallRecord.js';
import type * as callerSurroundings from './CallerSurroundings.js';
import type * as keptAddresses from './KeptAddresses.js';

// A caller tries this many VMs before it gives a request up.
const CONNECT_TRIES = 3;

const REPEAT_AFTER_MS = 200;

// Share of operations that the caller sends a second time with the same id although nothing failed.
const IMPATIENT_SHARE = 0.02;

// A caller asks for addresses again at most this often.
const QUERY_PERIOD_MS = 500;

/** Program of a member that sends requests: keeps address answers, and keeps them through outages. */
export class FakeCaller {
  readonly endpoint: links.Endpoint;

  private readonly kept = new Map<string, keptAddresses.KeptAddresses>();

  private readonly queriedAtMs = new Map<string, number>();

  /**
   * @param name - Name of the program.
   * @param random - Source of its choices.
   * @param surroundings - Way to the VMs.
   */
  constructor(
    name: string,
    private readonly random: core.randomness.RandomSource,
    private readonly surroundings: callerSurroundings.CallerSurroundings,
  ) {
    this.endpoint = { name, place: '', role: 'callers' };
  }

  /**
   * Begins a new request.
   * @param record - Request to send.
   */
  begin(record: callRecord.CallRecord): void {
    this.send(record, CONNECT_TRIES);
  }

  /**
   * Keeps an address answer.
   * @param service - Service that was asked for.
   * @param answer - Answer of a VM.
   * @param issuer - VM that gave it.
   */
  updateAddresses(service: string, answer: core.vms.AddressAnswer, issuer: string): void {
    if (answer.type !== 'addresses') return;
    this.kept.set(service, {
      vms: answer.addresses.map((address) => address.vm),
      prefix: answer.operationPrefix,
      issuer,
      receivedAtMs: this.surroundings.getNowMs(),
      validUntilMs: this.surroundings.getNowMs() + answer.validForMs,
    });
  }

  /**
   * Continues after a connection could not be opened; nothing was written.
   * @param record - Request that was to be sent.
   * @param tries - Tries that are left.
   */
  retryConnection(record: callRecord.CallRecord, tries: number): void {
    this.fetchAddresses(record.service);
    if (tries <= 0) return;
    if (record.operationId !== undefined) {
      const service = record.service;
      const kept = this.kept.get(service);
      if (kept !== undefined) this.kept.set(service, { ...kept, prefix: undefined });
    }
    this.surroundings.schedule(record.operationId === undefined ? 0 : REPEAT_AFTER_MS, () => this.send(record, tries - 1));
  }

  /**
   * Continues after a VM died with the request. An operation keeps its id; another request is sent anew.
   * @param record - Request that was cut off.
   */
  retryReset(record: callRecord.CallRecord): void {
    if (record.operationId === undefined) this.begin(this.surroundings.createFollowUp(record));
    else this.surroundings.schedule(REPEAT_AFTER_MS, () => this.sendAgain(record));
  }

  /**
   * Sends a rejected operation again with an id, as a new request.
   * @param record - Rejected request.
   * @param prefix - Prefix that came with the rejection.
   */
  retryWithPrefix(record: callRecord.CallRecord, prefix: string): void {
    const followUp = this.surroundings.createFollowUp(record);
    followUp.setOperationId(`${prefix}.${followUp.token}`);
    this.surroundings.send(this, followUp, { vm: prefix.split('.')[0]!, address: undefined, tries: 0 });
  }

  private send(record: callRecord.CallRecord, tries: number): void {
    const service = record.service;
    const kept = this.kept.get(service);
    if (kept === undefined || kept.validUntilMs < this.surroundings.getNowMs()) this.fetchAddresses(service);
    let vm = this.random.pickItem(kept?.vms ?? []) ?? this.surroundings.pickKnownVm();
    if (record.options.kind.repeatability === 'non-idempotent' && kept?.prefix !== undefined) {
      record.setOperationId(`${kept.prefix}.${record.token}`);
      [vm] = kept.prefix.split('.') as [string];
      const impatient = this.random.drawFraction() < IMPATIENT_SHARE;
      if (impatient) this.surroundings.schedule(REPEAT_AFTER_MS * this.random.drawFraction(), () => this.sendAgain(record));
    }
    this.sendTo(record, vm, tries);
  }

  private sendAgain(record: callRecord.CallRecord): void {
    const kept = this.kept.get(record.service);
    const vm = this.random.pickItem(kept?.vms ?? []) ?? this.surroundings.pickKnownVm();
    this.sendTo(record, vm, 0);
  }

  private sendTo(record: callRecord.CallRecord, vm: string, tries: number): void {
    const kept = this.kept.get(record.service);
    this.surroundings.send(this, record, { vm, address: kept?.vms.includes(vm) === true ? kept : undefined, tries });
  }

  private fetchAddresses(service: string): void {
    const nowMs = this.surroundings.getNowMs();
    if (nowMs - (this.queriedAtMs.get(service) ?? -Infinity) < QUERY_PERIOD_MS) return;
    this.queriedAtMs.set(service, nowMs);
    const known = this.kept.get(service)?.vms ?? [];
    // A caller asks a VM it knows, and now and then one of its settings.
    const vm = this.random.drawFraction() < 0.5 ? this.random.pickItem(known) : undefined;
    this.surroundings.fetchAddresses(this, vm ?? this.surroundings.pickKnownVm(), service);
  }
}
