import type * as contracts from '../contracts/index.js';
import * as tasks from '../tasks/index.js';
import type * as vms from '../vms/index.js';
import type * as instanceAddress from './InstanceAddress.js';
import type * as upstreamMessage from './UpstreamMessage.js';

/** Options of an `UpstreamTask`. */
export interface UpstreamTaskOptions {
  readonly context: vms.VmContext;
  readonly contract: contracts.ServiceContract;
}

interface Instance {
  readonly address: instanceAddress.InstanceAddress;
  inFlight: number;
}

/** Owns the instances of one service: which of them serves a request, and which is out of service. */
export class UpstreamTask extends tasks.Task<upstreamMessage.UpstreamMessage> {
  private readonly context: vms.VmContext;

  private contract: contracts.ServiceContract;

  private instances: readonly Instance[] = [];

  private readonly attempts = new Map<string, Instance>();

  /** @param options - Surroundings and contract of the service. */
  constructor(options: UpstreamTaskOptions) {
    super(options.context.scheduler);
    this.context = options.context;
    this.contract = options.contract;
  }

  /** Ends the subscriptions of the task when its service is no longer declared. */
  stop(): void {
    this.instances = [];
  }

  /** Gets the state of the service for the status page. */
  getStatus(): upstreamMessage.UpstreamStatus {
    return {
      type: 'upstream-status',
      service: this.contract.name,
      floorInstances: this.contract.floorInstances,
      instances: this.instances.map((instance) => ({
        name: instance.address.name, place: instance.address.place, state: 'in-service', weight: 1, inFlight: instance.inFlight, reason: '',
      })),
    };
  }

  /** @internal */
  override handle(message: upstreamMessage.UpstreamMessage): void {
    switch (message.type) {
      case 'contract':
        this.contract = message.contract;
        break;
      case 'list':
        this.instances = message.entries.filter((entry) => entry.state === 'live').map((entry) => ({ address: entry, inFlight: 0 }));
        break;
      case 'acquire':
        this.assignInstance(message);
        break;
      case 'observed':
        this.endAttempt(message.attemptId);
        break;
      default:
        break;
    }
  }

  private assignInstance(message: Extract<upstreamMessage.UpstreamMessage, { type: 'acquire' }>): void {
    const { attemptId } = message;
    const usable = this.instances.filter((instance) => !message.excluded.includes(instance.address.name));
    const instance = this.context.random.pickItem(usable);
    if (instance === undefined) {
      message.replyTo.post({ type: 'unavailable', attemptId, cause: 'none' });
      return;
    }
    instance.inFlight += 1;
    this.attempts.set(attemptId, instance);
    message.replyTo.post({
      type: 'assigned', attemptId, instance: instance.address, hedgeAfterMs: Infinity,
    });
  }

  private endAttempt(attemptId: string): void {
    const instance = this.attempts.get(attemptId);
    if (instance !== undefined) instance.inFlight -= 1;
    this.attempts.delete(attemptId);
  }
}
