import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as peerRules from './PeerRules.js';

/** Policy factories of one VM. Tests replace single policies by faulty subclasses to show that a check detects the fault. */
export interface VmRules {
  readonly callers: callers.CallerRules;
  readonly contracts: contracts.ContractRules;
  readonly upstreams: upstreams.UpstreamRules;
  readonly peers: peerRules.PeerRules;
}
