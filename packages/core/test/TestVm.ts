import * as core from '@tamarackferry/core';

type Outcome = core.contracts.Outcome;

const KIND = {
  method: 'GET', pathPrefix: '/read', repeatability: 'idempotent', priority: 'interactive', weight: 1, deadlineMs: 1_000, onTimeMs: 100,
} as const;

const CONTRACT: core.contracts.ServiceContract = {
  name: 'orders',
  floorInstances: 1,
  slotsPerInstance: 4,
  connectionsPerInstance: 10,
  detection: 'cautious',
  requestIdEcho: 'echoed',
  notRunAnswers: 'declared',
  answerDigest: 'absent',
  kinds: [
    { ...KIND, name: 'read' },
    {
      ...KIND, name: 'report', pathPrefix: '/read/report', priority: 'background',
    },
    {
      ...KIND, name: 'order', method: 'POST', pathPrefix: '/order', repeatability: 'non-idempotent',
    },
  ],
};

/** Options of a `TestVm`. */
export interface TestVmOptions {
  readonly timers?: core.time.VirtualTimerService;
  readonly name?: string;
  readonly incarnation?: string;
  readonly rules?: Partial<core.vms.VmRules>;
  readonly contract?: Partial<core.contracts.ServiceContract>;
  /** Total number of slots of all instances. */
  readonly slots?: number;
  readonly hedgeAfterMs?: number;
  readonly document?: 'accepted' | 'missing';
}

/** Real request and ledger tasks of one VM, with fakes of the other tasks. */
export class TestVm {
  readonly timers: core.time.VirtualTimerService;

  readonly outputs: core.vms.VmOutput[] = [];

  /** Messages to peers, in the order in which they were sent. */
  readonly peerMessages: { readonly to: string; readonly message: core.vms.PeerMessage }[] = [];

  readonly evidence: core.callers.EvidenceMessage[] = [];

  /** Observations by attempt id, for the attempts with an assigned instance. */
  readonly observationsByAttempt = new Map<string, core.upstreams.Observation[]>();

  readonly requests: core.callers.RequestTask;

  readonly ledger: core.contracts.LedgerTask;

  readonly name: string;

  /** Number of `requests-ended` messages that the request task sent. */
  requestsEndedCount = 0;

  private slotsInUse = 0;

  // `reported`: an `acquire` was refused, so the next freed slot must send `capacity-freed`.
  private saturation: 'none' | 'reported' = 'none';

  private nextInstance = 0;

  constructor(private readonly options: TestVmOptions = {}) {
    this.timers = options.timers ?? new core.time.VirtualTimerService();
    this.name = options.name ?? 'vm-1';
    const mailboxes = {
      evidence: { post: (message: core.callers.EvidenceMessage) => this.evidence.push(message) },
      upstreams: { post: (message: core.upstreams.UpstreamDirectoryMessage) => this.handleUpstreamMessage(message) },
      peers: {
        post: (message: core.vms.PeerTaskMessage) => {
          if (message.type === 'send') this.peerMessages.push(message);
        },
      },
    } as unknown as { -readonly [Name in keyof core.vms.VmMailboxes]: core.vms.VmMailboxes[Name] };
    const context: core.vms.VmContext = {
      identity: {
        name: this.name, incarnation: options.incarnation ?? `${this.name}x`, host: '10.0.0.1', port: 1, peerPort: 2, place: 'a',
      },
      deployment: 'test',
      scheduler: new core.tasks.TaskScheduler(),
      timers: this.timers,
      random: new core.randomness.SeededRandomSource(1),
      codec: undefined as unknown as core.contracts.DocumentCodec,
      outbox: { post: (output) => this.outputs.push(output) },
      mailboxes,
      rules: {
        callers: new core.callers.CallerRules(),
        contracts: new core.contracts.ContractRules(),
        upstreams: new core.upstreams.UpstreamRules(),
        peers: new core.vms.PeerRules(),
        ...options.rules,
      },
      seedPeers: [],
      addressValidityMs: 10_000,
    };
    this.ledger = new core.contracts.LedgerTask(context);
    mailboxes.ledger = this.ledger;
    this.requests = new core.callers.RequestTask(context);
    mailboxes.requests = this.requests;
    if (options.document !== 'missing') this.acceptDocument();
  }

  acceptDocument(): void {
    const members = [['museum', 1], ['archive', 1], ['school', 2]] as const;
    this.requests.post({
      type: 'document-accepted',
      document: {
        services: [{ ...CONTRACT, ...this.options.contract }],
        members: members.map(([name, share]) => ({
          name, counting: 'weighted-on-time', share, keyDigest: '',
        })),
      } as unknown as core.contracts.DeploymentDocument,
    });
  }

  /** Builds an operation id whose home is this VM. */
  buildId(nonce: string, epoch = 0): string {
    return `${this.name}.${this.name}x.${epoch}.${nonce}`;
  }

  buildRequest(): core.callers.CallerRequest {
    return {
      service: 'orders', method: 'GET', path: '/read', headers: [], body: new Uint8Array(), digest: '', member: 'museum', deadlineMs: undefined, operationId: undefined,
    };
  }

  sendRead(requestId: string, overrides: Partial<core.callers.CallerRequest> = {}): void {
    this.requests.post({ type: 'caller-request', requestId, request: { ...this.buildRequest(), ...overrides } });
  }

  sendOrder(requestId: string, operationId: string | undefined, overrides: Partial<core.callers.CallerRequest> = {}): void {
    this.sendRead(requestId, {
      method: 'POST', path: '/order', digest: 'd', operationId, ...overrides,
    });
  }

  listAttempts(): Extract<core.vms.VmOutput, { type: 'send-attempt' }>[] {
    return this.outputs.filter((output) => output.type === 'send-attempt');
  }

  /** Reports the result of an attempt to the request task; by default of the attempt that was sent last. */
  endAttempt(result: core.upstreams.AttemptResult, attemptId = this.listAttempts().at(-1)?.attemptId ?? ''): void {
    this.requests.post({ type: 'attempt-ended', attemptId, result });
  }

  /** Reports a complete answer to the request task; by default to the attempt that was sent last. */
  answerAttempt(overrides: Partial<Extract<core.upstreams.AttemptResult, { type: 'answered' }>> = {}, attemptId?: string): void {
    const answer = { status: 200, headers: [], body: new Uint8Array(4) };
    this.endAttempt({
      type: 'answered', answer, echo: 'matched', notRun: undefined, drain: undefined, load: undefined, ...overrides,
    }, attemptId);
  }

  listOutcomes(requestId: string): Outcome[] {
    return this.outputs.flatMap((output) => (output.type === 'caller-answer' && output.requestId === requestId ? [output.outcome] : []));
  }

  /** Formats the outcomes sent for a request as `answered` or `type reason`, separated by commas; `none` if there are none. */
  formatOutcome(requestId: string): string {
    const outcomes = this.listOutcomes(requestId).map((outcome) => (outcome.type === 'answered' ? 'answered' : `${outcome.type} ${outcome.reason}`));
    return outcomes.length === 0 ? 'none' : outcomes.join(', ');
  }

  stop(): void {
    this.requests.post({
      type: 'stop',
      replyTo: {
        post: () => {
          this.requestsEndedCount += 1;
        },
      },
    });
  }

  private handleUpstreamMessage(directoryMessage: core.upstreams.UpstreamDirectoryMessage): void {
    if (directoryMessage.type !== 'to-service') return;
    const { message } = directoryMessage;
    if (message.type === 'observed') {
      this.observationsByAttempt.get(message.attemptId)?.push(message.observation);
      this.slotsInUse -= 1;
      if (this.saturation === 'reported') this.requests.post({ type: 'capacity-freed', service: 'orders' });
      this.saturation = 'none';
    }
    if (message.type !== 'acquire') return;
    const { attemptId } = message;
    if (this.slotsInUse >= (this.options.slots ?? 1_000)) {
      this.saturation = 'reported';
      message.replyTo.post({ type: 'unavailable', attemptId, cause: 'saturated' });
      return;
    }
    this.slotsInUse += 1;
    this.nextInstance += 1;
    this.observationsByAttempt.set(attemptId, []);
    message.replyTo.post({
      type: 'assigned',
      attemptId,
      instance: {
        service: 'orders', name: `i-${this.nextInstance}`, incarnation: '1', host: '10.0.0.2', port: 1, place: 'a',
      },
      hedgeAfterMs: this.options.hedgeAfterMs ?? Infinity,
    });
  }
}
