import type * as contracts from '../contracts/index.js';
import type * as vms from '../vms/index.js';

/** Message to the `AddressTask`. */
export type AddressMessage =
  /** A caller requests the addresses of the VMs to which callers of a service connect. */
  | { readonly type: 'query'; readonly queryId: string; readonly service: string }
  | vms.ViewChanged
  | contracts.DocumentAccepted
  | contracts.LedgerReply
  | { readonly type: 'state-changed'; readonly state: 'starting' | 'serving' | 'leaving' };
