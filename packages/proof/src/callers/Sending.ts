import type * as callRecord from './CallRecord.js';
import type * as fakeCaller from './FakeCaller.js';
import type * as keptAddresses from './KeptAddresses.js';

/** Options of a `Sending`. */
export interface SendingOptions {
  readonly requestId: string;
  readonly caller: fakeCaller.FakeCaller;
  readonly record: callRecord.CallRecord;
  readonly vm: string;
  /** Address answer that named the VM. */
  readonly address: keptAddresses.KeptAddresses | undefined;
}

/** One sending of a request to one VM. */
export class Sending {
  private current: 'sent' | 'arrived' | 'ended' = 'sent';

  /** @param options - Request and VM. */
  constructor(readonly options: SendingOptions) {}

  /** Whether the VM has the request, or its caller no longer waits. */
  get state(): 'sent' | 'arrived' | 'ended' {
    return this.current;
  }

  /** Notes that the VM has the request. */
  markArrived(): void {
    this.current = 'arrived';
  }

  /** Ends the sending. */
  end(): void {
    this.current = 'ended';
  }
}
