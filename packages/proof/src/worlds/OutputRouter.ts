import type * as core from '@tamarackferry/core';

import type * as callers from '../callers/index.js';
import type * as links from '../links/index.js';
import type * as platform from '../platform/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as vms from '../vms/index.js';
import type * as worldEvent from './WorldEvent.js';

/** Options of an `OutputRouter`. */
export interface OutputRouterOptions {
  readonly callers: callers.CallerFleet;
  readonly connections: upstreams.FakeConnections;
  readonly peers: links.PeerNetwork;
  readonly platform: platform.FakePlatform;
  readonly instances: ReadonlyMap<string, upstreams.FakeInstance>;
  readonly book: callers.CallRegistry;
  readonly observer: core.tasks.Mailbox<worldEvent.WorldEvent>;
  /** Called after a log line about upstreams; ejections are logged. */
  readonly onUpstreamLog: (machine: vms.FakeMachine) => void;
  /** Called when the process of a VM may exit. */
  readonly onStopped: (machine: vms.FakeMachine) => void;
}

/** Carries the outputs of the VMs to the fakes that they are for. */
export class OutputRouter {
  /** @param options - Fakes. */
  constructor(private readonly options: OutputRouterOptions) {}

  /**
   * Carries one output.
   * @param machine - Machine of the VM.
   * @param output - Output.
   */
  route(machine: vms.FakeMachine, output: core.vms.VmOutput): void {
    const {
      callers: fleet, connections, peers, observer,
    } = this.options;
    switch (output.type) {
      case 'caller-answer':
        fleet.handleOutcome(machine, output.requestId, output.outcome);
        break;
      case 'address-answer':
        fleet.handleAddresses(output.queryId, machine, output.answer);
        break;
      case 'status-answer':
        observer.post({ type: 'status', machine, status: output.status });
        break;
      case 'send-attempt':
        this.sendAttempt(machine, output);
        break;
      case 'cancel-attempt':
        connections.cancelAttempt(machine, output.attemptId);
        break;
      case 'send-probe':
        connections.sendProbe(machine, output);
        break;
      case 'send-peer':
        peers.send(machine, output);
        break;
      case 'platform-mode':
        this.options.platform.setMode(machine, output.mode);
        break;
      case 'document-accepted':
        observer.post({ type: 'document-accepted', machine, reference: output.reference });
        break;
      case 'log':
        if (output.prefix === 'upstreams') this.options.onUpstreamLog(machine);
        break;
      case 'stopped':
        this.options.onStopped(machine);
        break;
      default:
        break;
    }
  }

  private sendAttempt(machine: vms.FakeMachine, output: Extract<core.vms.VmOutput, { type: 'send-attempt' }>): void {
    const instance = this.options.instances.get(output.instance.name);
    if (instance === undefined) return;
    const record = this.options.book.getRecord(output.request.path.slice(output.request.path.lastIndexOf('/') + 1));
    this.options.observer.post({
      type: 'attempt-sent', machine, instance, record, timeoutMs: output.timeoutMs,
    });
    this.options.connections.sendAttempt(machine, output);
  }
}
