import * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as links from '../links/index.js';
import type * as vms from '../vms/index.js';
import type * as worlds from '../worlds/index.js';
import type * as callRegistry from './CallRegistry.js';
import type * as callRecord from './CallRecord.js';
import type * as callerSurroundings from './CallerSurroundings.js';
import * as fakeCaller from './FakeCaller.js';
import * as sending from './Sending.js';

const CALLERS_PER_MEMBER = 16;

const CONNECT_TIMEOUT_MS = 1_000;

// A VM that was frozen longer than this may still answer, but nobody hears it.
const FORGOTTEN_AFTER_MS = 60_000;

const NO_BODY = new Uint8Array(0);

const NO_HEADERS: readonly (readonly [string, string])[] = [];

/** Options of a `CallerFleet`. */
export interface CallerFleetOptions {
  readonly plan: contracts.DeploymentPlan;
  readonly queue: worlds.EventQueue;
  readonly links: links.LinkTable;
  readonly random: core.randomness.RandomSource;
  readonly book: callRegistry.CallRegistry;
  readonly machines: ReadonlyMap<string, vms.FakeMachine>;
  readonly observer: core.tasks.Mailbox<worlds.WorldEvent>;
}

/** All fake callers of a deployment, their open-loop arrivals and their connections to the VMs. */
export class CallerFleet implements callerSurroundings.CallerSurroundings {
  private readonly callers: ReadonlyMap<string, readonly fakeCaller.FakeCaller[]>;

  private readonly sendings = new Map<string, sending.Sending>();

  private readonly queries = new Map<string, { readonly caller: fakeCaller.FakeCaller; readonly service: string }>();

  private readonly vmNames: readonly string[];

  private nextId = 0;

  /** @param options - Deployment and surroundings. */
  constructor(private readonly options: CallerFleetOptions) {
    this.vmNames = [...options.machines.keys()];
    this.callers = new Map(options.plan.members.map((member) => [member.name, Array.from({ length: CALLERS_PER_MEMBER }, (_, index) => (
      new fakeCaller.FakeCaller(`${member.name}-${index + 1}`, new core.randomness.SeededRandomSource(options.random.drawInteger(0x7fffffff)), this)
    ))]));
  }

  /**
   * Lists the callers of a member.
   * @param member - Name of the member.
   */
  listCallers(member: string): readonly fakeCaller.FakeCaller[] {
    return this.callers.get(member) ?? [];
  }

  /**
   * Closes the connections of a request.
   * @param record - Request to cancel.
   */
  cancel(record: callRecord.CallRecord): void {
    record.setState('cancelled');
    [...this.sendings.values()].filter((open) => open.options.record === record && open.state !== 'ended').forEach((open) => {
      const { requestId, caller } = open.options;
      const machine = this.options.machines.get(open.options.vm)!;
      const delayMs = this.options.links.drawStreamDelayMs(caller.endpoint, machine.endpoint);
      if (delayMs === undefined) return;
      this.options.queue.schedule(delayMs, () => {
        this.endSending(open);
        machine.deliver({ type: 'caller-gone', requestId });
      });
    });
  }

  /**
   * Handles an outcome that a VM gives.
   * @param machine - Machine of the VM.
   * @param requestId - Sending that it belongs to.
   * @param outcome - Outcome.
   */
  handleOutcome(machine: vms.FakeMachine, requestId: string, outcome: core.contracts.Outcome): void {
    const open = this.sendings.get(requestId);
    if (open === undefined || open.state === 'ended') return;
    this.endSending(open);
    const { record, caller } = open.options;
    const nowMs = this.options.queue.getNowMs();
    record.told.push({
      vm: machine.endpoint.name, atMs: nowMs, type: outcome.type, reason: outcome.type === 'answered' ? '' : outcome.reason,
    });
    this.options.observer.post({
      type: 'outcome-told', machine, record, outcome, address: this.readAddress(open),
    });
    const delayMs = this.options.links.drawStreamDelayMs(machine.endpoint, caller.endpoint);
    if (delayMs !== undefined) this.options.queue.schedule(delayMs, () => this.receiveOutcome(caller, record, outcome));
  }

  /**
   * Handles an address answer of a VM.
   * @param queryId - Query that it belongs to.
   * @param machine - Machine of the VM.
   * @param answer - Answer.
   */
  handleAddresses(queryId: string, machine: vms.FakeMachine, answer: core.vms.AddressAnswer): void {
    const query = this.queries.get(queryId);
    this.queries.delete(queryId);
    if (query === undefined) return;
    const delayMs = this.options.links.drawStreamDelayMs(machine.endpoint, query.caller.endpoint);
    if (delayMs === undefined) return;
    const { name } = machine.endpoint;
    this.options.queue.schedule(delayMs, () => query.caller.updateAddresses(query.service, answer, name));
  }

  /**
   * Counts the requests that wait for an answer of a VM.
   * @param machine - Machine of the VM.
   */
  countOpen(machine: vms.FakeMachine): number {
    return this.listOpen(machine).length;
  }

  /**
   * Closes the connections to a VM whose process ended.
   * @param machine - Machine of the VM.
   */
  handleGone(machine: vms.FakeMachine): void {
    this.listOpen(machine).forEach((open) => {
      const { caller, record } = open.options;
      this.endSending(open);
      const delayMs = this.options.links.drawStreamDelayMs(machine.endpoint, caller.endpoint);
      if (delayMs !== undefined && record.state === 'open') this.options.queue.schedule(delayMs, () => caller.retryReset(record));
    });
  }

  /** Forgets sendings that nobody waits for any more. */
  pruneSendings(): void {
    const nowMs = this.options.queue.getNowMs();
    [...this.sendings.values()].filter(({ options }) => {
      const { sentAtMs, kind } = options.record.options;
      return sentAtMs + 2 * kind.deadlineMs + FORGOTTEN_AFTER_MS < nowMs;
    }).forEach((open) => this.sendings.delete(open.options.requestId));
  }

  getNowMs(): number {
    return this.options.queue.getNowMs();
  }

  pickKnownVm(): string {
    return this.options.random.pickItem(this.vmNames)!;
  }

  schedule(delayMs: number, fire: () => void): void {
    this.options.queue.schedule(delayMs, fire);
  }

  createFollowUp(record: callRecord.CallRecord): callRecord.CallRecord {
    record.setState('replaced');
    return this.options.book.addRecord(record.options);
  }

  send(caller: fakeCaller.FakeCaller, record: callRecord.CallRecord, target: callerSurroundings.SendingTarget): void {
    const machine = this.options.machines.get(target.vm);
    if (machine === undefined || record.state === 'replaced') return;
    this.nextId += 1;
    const open = new sending.Sending({
      requestId: `s${this.nextId}`, record, vm: target.vm, address: target.address, caller,
    });
    const { queue, links: table } = this.options;
    const delayMs = table.drawStreamDelayMs(caller.endpoint, machine.endpoint);
    const backMs = table.drawStreamDelayMs(machine.endpoint, caller.endpoint);
    // Without an answer to its first packet the connection is not opened and nothing is written.
    if (delayMs === undefined || backMs === undefined) {
      queue.schedule(CONNECT_TIMEOUT_MS, () => caller.retryConnection(record, target.tries));
      return;
    }
    this.sendings.set(open.options.requestId, open);
    queue.schedule(delayMs, () => this.receiveSending(open, machine, target.tries));
  }

  fetchAddresses(caller: fakeCaller.FakeCaller, vm: string, service: string): void {
    const machine = this.options.machines.get(vm);
    const delayMs = machine === undefined ? undefined : this.options.links.drawStreamDelayMs(caller.endpoint, machine.endpoint);
    if (machine === undefined || delayMs === undefined) return;
    this.nextId += 1;
    const queryId = `a${this.nextId}`;
    this.queries.set(queryId, { caller, service });
    this.options.queue.schedule(delayMs, () => machine.deliver({ type: 'address-query', queryId, service }));
  }

  private listOpen(machine: vms.FakeMachine): readonly sending.Sending[] {
    return [...this.sendings.values()].filter((open) => open.options.vm === machine.endpoint.name && open.state === 'arrived');
  }

  private receiveSending(open: sending.Sending, machine: vms.FakeMachine, tries: number): void {
    if (open.state === 'ended') return;
    const { record, caller, requestId } = open.options;
    if (machine.getState() === 'dead') {
      this.endSending(open);
      this.options.observer.post({ type: 'connection-refused', machine, address: this.readAddress(open) });
      this.options.queue.schedule(this.options.plan.latency.callersMs, () => caller.retryConnection(record, tries));
      return;
    }
    open.markArrived();
    const { kind, sentAtMs, member } = record.options;
    const elapsedMs = this.getNowMs() - sentAtMs;
    machine.deliver({
      type: 'caller-request',
      requestId,
      request: {
        service: record.service,
        method: kind.method,
        path: `${kind.pathPrefix}/${record.token}`,
        headers: NO_HEADERS,
        body: record.operationId === undefined ? NO_BODY : Buffer.from(record.token),
        digest: record.operationId === undefined ? '' : `digest-${record.token}`,
        member,
        // A repeated operation waits anew; its outcome matters also after the first deadline.
        deadlineMs: record.operationId === undefined ? Math.max(1, kind.deadlineMs - elapsedMs) : kind.deadlineMs,
        operationId: record.operationId,
      },
    });
  }

  private receiveOutcome(caller: fakeCaller.FakeCaller, record: callRecord.CallRecord, outcome: core.contracts.Outcome): void {
    if (record.state !== 'open' && record.state !== 'unknown') return;
    if (outcome.type === 'not-run' && outcome.operationPrefix !== undefined && record.operationId === undefined) {
      caller.retryWithPrefix(record, outcome.operationPrefix);
      return;
    }
    const previous = record.state;
    if (outcome.type === 'answered') record.setState(this.scoreAnswer(record, outcome.answer));
    else if (previous === 'open') record.setState(outcome.type);
    if (previous !== record.state) this.options.observer.post({ type: 'request-ended', record, previous });
  }

  private readAddress({ options }: sending.Sending): worlds.AddressUse {
    const { address } = options;
    if (address === undefined) return { state: 'expired', receivedAtMs: 0, issuer: '' };
    const { receivedAtMs, issuer } = address;
    return { state: address.validUntilMs >= this.getNowMs() ? 'valid' : 'expired', receivedAtMs, issuer };
  }

  private endSending(open: sending.Sending): void {
    open.end();
    this.sendings.delete(open.options.requestId);
  }

  private scoreAnswer(record: callRecord.CallRecord, answer: core.contracts.UpstreamAnswer): callRecord.CallState {
    if (answer.status !== 200) return 'answered-wrong';
    return this.getNowMs() - record.options.sentAtMs <= record.options.kind.onTimeMs ? 'answered-on-time' : 'answered-late';
  }
}
