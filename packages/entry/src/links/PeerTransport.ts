import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

/** Carries envelopes to other VMs. */
export abstract class PeerTransport {
  /**
   * Delivers envelopes to one VM, in their order, at most once.
   * @param to - VM to deliver to.
   * @param envelopes - Envelopes to deliver.
   * @param signal - Aborts the delivery.
   */
  abstract deliver(
    to: core.vms.VmIdentity,
    envelopes: readonly core.vms.PeerEnvelope[],
    signal: AbortSignal,
  ): Promise<neverthrow.Result<void, 'unreached'>>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
