import * as core from '@tamarackferry/core';

/** Faulty choice that sends callers to leaving VMs. */
export class LeavingAddressChoice extends core.callers.AddressSelectionPolicy {
  override isUsable(peer: core.vms.PeerView): boolean {
    return peer.state === 'reachable' || peer.state === 'leaving';
  }
}
