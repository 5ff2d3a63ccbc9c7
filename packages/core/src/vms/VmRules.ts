import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as peerRules from './PeerRules.js';

/** Rules and policies of one VM. Tests replace single ones by faulty subclasses to show that the proof catches the fault. */
export interface VmRules {
  readonly callers: callers.CallerRules;
  readonly contracts: contracts.ContractRules;
  readonly upstreams: upstreams.UpstreamRules;
  readonly peers: peerRules.PeerRules;
}
