import type * as callRecord from './CallRecord.js';
import type * as fakeCaller from './FakeCaller.js';
import type * as keptAddresses from './KeptAddresses.js';

/** Where a request is sent to. */
export interface SendingTarget {
  readonly vm: string;
  /** Address answer that named the VM. */
  readonly address: keptAddresses.KeptAddresses | undefined;
  /** Further VMs to try if the connection cannot be opened. */
  readonly tries: number;
}

/** What a fake caller uses of its surroundings. */
export interface CallerSurroundings {
  /** Gets the virtual time in milliseconds. */
  getNowMs(): number;
  /** Picks a VM from the settings of the callers. */
  pickKnownVm(): string;
  /**
   * Schedules an event after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param fire - Event to run.
   */
  schedule(delayMs: number, fire: () => void): void;
  /**
   * Creates the record of a new request that replaces one that is known to be void.
   * @param record - Request to replace.
   */
  createFollowUp(record: callRecord.CallRecord): callRecord.CallRecord;
  /**
   * Sends a request to a VM.
   * @param caller - Sending caller.
   * @param record - Request to send.
   * @param target - VM to send it to.
   */
  send(caller: fakeCaller.FakeCaller, record: callRecord.CallRecord, target: SendingTarget): void;
  /**
   * Asks a VM for the addresses of a service.
   * @param caller - Asking caller.
   * @param vm - VM to ask.
   * @param service - Service to ask for.
   */
  fetchAddresses(caller: fakeCaller.FakeCaller, vm: string, service: string): void;
}
