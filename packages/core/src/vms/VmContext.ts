import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import type * as randomness from '../randomness/index.js';
import type * as tasks from '../tasks/index.js';
import type * as time from '../time/index.js';
import type * as upstreams from '../upstreams/index.js';
import type * as lifecycleMessage from './LifecycleMessage.js';
import type * as listEntry from './ListEntry.js';
import type * as peerTaskMessage from './PeerTaskMessage.js';
import type * as vmIdentity from './VmIdentity.js';
import type * as vmOutput from './VmOutput.js';
import type * as vmRules from './VmRules.js';

/** Mailboxes by which the tasks of one VM reach each other. */
export interface VmMailboxes {
  readonly requests: tasks.Mailbox<callers.RequestMessage>;
  readonly addresses: tasks.Mailbox<callers.AddressMessage>;
  readonly evidence: tasks.Mailbox<callers.EvidenceMessage>;
  readonly ledger: tasks.Mailbox<contracts.LedgerMessage>;
  readonly configuration: tasks.Mailbox<contracts.ConfigurationMessage>;
  readonly upstreams: tasks.Mailbox<upstreams.UpstreamDirectoryMessage>;
  readonly peers: tasks.Mailbox<peerTaskMessage.PeerTaskMessage>;
  readonly lifecycle: tasks.Mailbox<lifecycleMessage.LifecycleMessage>;
}

/** Surroundings that the tasks of one VM share. Everything in it is immutable or reached by messages. */
export interface VmContext {
  readonly identity: vmIdentity.VmIdentity;
  /** Name of the deployment; documents of others are refused. */
  readonly deployment: string;
  readonly scheduler: tasks.TaskScheduler;
  readonly timers: time.TimerService;
  readonly random: randomness.RandomSource;
  readonly codec: contracts.DocumentCodec;
  readonly outbox: tasks.Mailbox<vmOutput.VmOutput>;
  readonly mailboxes: VmMailboxes;
  readonly rules: vmRules.VmRules;
  /** Peers from the settings, for a start while the platform is down. */
  readonly seedPeers: readonly listEntry.EntryVmListEntry[];
  /** Time for which callers may keep an address answer, in milliseconds. */
  readonly addressValidityMs: number;
}
