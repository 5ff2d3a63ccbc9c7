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

/** Mailboxes through which the tasks of one VM send messages to each other. */
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

/** Dependencies that the tasks of one VM share. All of them are immutable or accessed through messages. */
export interface VmContext {
  readonly identity: vmIdentity.VmIdentity;
  /** Name of the deployment; documents of other deployments are refused. */
  readonly deployment: string;
  readonly scheduler: tasks.TaskScheduler;
  readonly timers: time.TimerService;
  readonly random: randomness.RandomSource;
  readonly codec: contracts.DocumentCodec;
  readonly outbox: tasks.Mailbox<vmOutput.VmOutput>;
  readonly mailboxes: VmMailboxes;
  readonly rules: vmRules.VmRules;
  /** Peers from the settings, used to start while the platform is unavailable. */
  readonly seedPeers: readonly listEntry.EntryVmListEntry[];
  /** Time for which callers may cache an address answer, in milliseconds. */
  readonly addressValidityMs: number;
}
