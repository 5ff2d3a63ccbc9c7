import * as callers from '../callers/index.js';
import * as contracts from '../contracts/index.js';
import * as links from '../links/index.js';
import type * as randomness from '../randomness/index.js';
import * as tasks from '../tasks/index.js';
import type * as time from '../time/index.js';
import * as upstreams from '../upstreams/index.js';
import * as lifecycleTask from './LifecycleTask.js';
import type * as listEntry from './ListEntry.js';
import * as peerRules from './PeerRules.js';
import * as peerTask from './PeerTask.js';
import * as statusTask from './StatusTask.js';
import type * as vmContext from './VmContext.js';
import type * as vmIdentity from './VmIdentity.js';
import type * as vmInput from './VmInput.js';
import type * as vmOutput from './VmOutput.js';
import type * as vmRules from './VmRules.js';

const DEFAULT_ADDRESS_VALIDITY_MS = 10_000;

/** Options of a `Vm`. */
export interface VmOptions {
  readonly identity: vmIdentity.VmIdentity;
  /** Name of the deployment; documents of other deployments are refused. */
  readonly deployment: string;
  readonly timers: time.TimerService;
  readonly random: randomness.RandomSource;
  readonly codec: contracts.DocumentCodec;
  /** Receives the outputs of the VM. */
  readonly outbox: tasks.Mailbox<vmOutput.VmOutput>;
  /** Peers from which a document is requested while the platform is unavailable. */
  readonly seedPeers?: readonly listEntry.EntryVmListEntry[];
  /** Time for which callers may cache an address answer, in milliseconds; 10,000 if not given. */
  readonly addressValidityMs?: number;
  /** Policy factories that replace the default ones. */
  readonly rules?: Partial<vmRules.VmRules>;
}

/** Decision logic of one VM. It uses no sockets, clocks or module state, so that many VMs can run in one process. */
export class Vm implements tasks.Mailbox<vmInput.VmInput> {
  private readonly mailboxes: vmContext.VmMailboxes;

  private readonly status: statusTask.StatusTask;

  private readonly outbox: tasks.Mailbox<vmOutput.VmOutput>;

  /** @param options - Identity and dependencies of the VM. */
  constructor(options: VmOptions) {
    this.outbox = options.outbox;
    const scheduler = new tasks.TaskScheduler();
    // The tasks refer to each other, so the mailboxes are set after the context that contains them is built.
    const mailboxes = {} as { -readonly [Name in keyof vmContext.VmMailboxes]: vmContext.VmMailboxes[Name] };
    const context: vmContext.VmContext = {
      identity: options.identity,
      deployment: options.deployment,
      scheduler,
      timers: options.timers,
      random: options.random,
      codec: options.codec,
      outbox: options.outbox,
      mailboxes,
      rules: {
        callers: new callers.CallerRules(),
        contracts: new contracts.ContractRules(),
        upstreams: new upstreams.UpstreamRules(),
        peers: new peerRules.PeerRules(),
        ...options.rules,
      },
      seedPeers: options.seedPeers ?? [],
      addressValidityMs: options.addressValidityMs ?? DEFAULT_ADDRESS_VALIDITY_MS,
    };
    const lifecycle = new lifecycleTask.LifecycleTask(context);
    mailboxes.lifecycle = lifecycle;
    mailboxes.upstreams = new upstreams.UpstreamDirectoryTask(context);
    mailboxes.ledger = new contracts.LedgerTask(context);
    mailboxes.requests = new callers.RequestTask(context);
    mailboxes.addresses = new callers.AddressTask(context);
    mailboxes.evidence = new callers.EvidenceTask(context);
    mailboxes.configuration = new contracts.ConfigurationTask(context);
    mailboxes.peers = new peerTask.PeerTask(context);
    this.mailboxes = mailboxes;
    this.status = new statusTask.StatusTask({ context, lifecycle });
    // eslint-disable-next-line no-new -- the subscription of the timer service references the task
    new links.LocalHealthTask(context);
  }

  /**
   * Routes an input to the task that handles it. Outputs are posted to the outbox before the call returns.
   * @param input - Input from the process that runs the VM.
   */
  post(input: vmInput.VmInput): void {
    const { mailboxes } = this;
    switch (input.type) {
      case 'caller-request':
      case 'caller-gone':
      case 'attempt-ended':
      case 'attempt-overflowed':
        mailboxes.requests.post(input);
        break;
      case 'address-query':
        mailboxes.addresses.post({ type: 'query', queryId: input.queryId, service: input.service });
        break;
      case 'status-query':
        this.status.post({ type: 'query', queryId: input.queryId });
        break;
      case 'evidence-query':
        mailboxes.evidence.post({
          type: 'report-requested', queryId: input.queryId, member: input.member, replyTo: { post: (reply) => this.answerEvidence(reply) },
        });
        break;
      case 'probe-ended':
        mailboxes.upstreams.post({
          type: 'to-service', service: input.service, message: { type: 'probe-ended', instance: input.instance, result: input.result },
        });
        break;
      case 'peer-envelope':
        mailboxes.peers.post({ type: 'envelope', envelope: input.envelope });
        break;
      case 'peer-unreached':
        mailboxes.peers.post({ type: 'delivery-failed', to: input.to });
        mailboxes.requests.post(input);
        break;
      case 'peer-invalid':
        mailboxes.peers.post({ type: 'invalid', detail: input.detail });
        break;
      case 'configuration-read':
        mailboxes.configuration.post({ type: 'published', text: input.text });
        break;
      case 'list-read':
        this.deliverList(input.entries);
        break;
      case 'platform-failed':
        if (input.source === 'configuration') mailboxes.configuration.post({ type: 'platform-failed' });
        break;
      case 'stop':
        mailboxes.lifecycle.post(input);
        break;
      // no default
    }
  }

  private deliverList(entries: readonly listEntry.ListEntry[]): void {
    const entryVms = entries.filter((entry) => entry.role === 'entry');
    this.mailboxes.peers.post({ type: 'list', entries: entryVms });
    this.mailboxes.upstreams.post({ type: 'list', entries: entries.filter((entry) => entry.role === 'upstream') });
  }

  private answerEvidence(reply: callers.EvidenceReply): void {
    this.outbox.post({ type: 'evidence-answer', queryId: reply.queryId, report: reply.report });
  }
}
