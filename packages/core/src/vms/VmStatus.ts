import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmIdentity from './VmIdentity.js';

/** State of a VM for the status page. */
export interface VmStatus {
  readonly identity: vmIdentity.VmIdentity;
  readonly state: 'starting' | 'serving' | 'leaving';
  readonly configuration: contracts.ConfigurationStatus;
  readonly peers: peerTaskMessage.PeerStatus;
  readonly upstreams: readonly upstreams.UpstreamStatus[];
  readonly operations: contracts.LedgerStatus;
  readonly requests: callers.RequestStatus;
}
