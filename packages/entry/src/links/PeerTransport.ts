import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

/** Sends envelopes to other VMs. */
export abstract class PeerTransport {
  /**
   * Delivers envelopes to one VM in the given order and at most once: a failed delivery is not retried. The error `unreached`
   * means that the delivery failed; the VM may still have received the envelopes.
   * @param to - VM to deliver to.
   * @param envelopes - Envelopes to deliver.
   * @param signal - Aborts the delivery.
   */
  abstract deliver(
    to: core.vms.VmIdentity,
    envelopes: readonly core.vms.PeerEnvelope[],
    signal: AbortSignal,
  ): Promise<neverthrow.Result<void, 'unreached'>>;

  /** Closes all connections and aborts the deliveries in progress. */
  abstract close(): Promise<void>;
}
