import * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';
import * as upstreams from '../upstreams/index.js';
import type * as proofWorld from './ProofWorld.js';
import type * as worldAction from './WorldAction.js';

// The second of two operators who publish at once is this much later.
const OPERATOR_GAP_MS = 20;

type ActionOf<Type extends worldAction.WorldAction['type']> = Extract<worldAction.WorldAction, { type: Type }>;

/** Applies actions to a world. An action that does not fit the state of its target has no effect. */
export class ActionInjector {
  private readonly scripted = new Map<string, callers.ScriptedCaller>();

  private readonly texts = new Map<number, string>();

  private version = 1;

  /** @param world - World to act on, already started. */
  constructor(private readonly world: proofWorld.ProofWorld) {
    this.texts.set(1, world.documents.writeText(1, []));
  }

  /** Version of the newest document. */
  get newestVersion(): number {
    return this.version;
  }

  /**
   * Gets the record of a request of the trace.
   * @param name - Name of the request.
   */
  getRecord(name: string): callers.CallRecord | undefined {
    return this.scripted.get(name)?.record;
  }

  /**
   * Applies an action now.
   * @param action - Action to apply.
   */
  inject(action: worldAction.WorldAction): void {
    const { world } = this;
    switch (action.type) {
      case 'request':
        this.beginRequest(action);
        break;
      case 'repeat':
        this.scripted.get(action.name)?.sendTo(action.via);
        break;
      case 'cancel': {
        const caller = this.scripted.get(action.name);
        if (caller !== undefined) world.callers.cancel(caller.record);
        break;
      }
      case 'load':
        world.callers.scaleLoad(action.factor);
        break;
      case 'kill':
      case 'restart':
      case 'stop':
      case 'freeze':
      case 'thaw':
        if (world.machines.has(action.target)) this.updateMachine(action);
        else this.updateInstance(action);
        break;
      case 'link':
        world.links.addCondition(action.condition);
        break;
      case 'heal':
        world.links.removeConditions(action.from, action.to);
        break;
      case 'platform':
        world.platform.setState(action.state, action.version === undefined ? undefined : this.texts.get(action.version));
        break;
      case 'list-lag':
        world.platform.setListLag(action.lagMs);
        break;
      case 'gray':
      case 'drain':
      case 'cold':
      case 'mislead':
        this.applyToInstance(action);
        break;
      case 'document':
        this.publishDocument(action.changes);
        break;
      case 'operators':
        this.publishTwice(action.changes);
        break;
      // no default
    }
  }

  private beginRequest(action: ActionOf<'request'>): void {
    const { world } = this;
    const plan = world.plan.services.find((service) => service.contract.name === action.service);
    const kind = plan?.contract.kinds.find((candidate) => candidate.name === action.kind);
    if (plan === undefined || kind === undefined || this.scripted.has(action.name)) return;
    const record = world.book.addRecord({
      member: action.member, plan, kind, sentAtMs: world.getNowMs(),
    }, action.name);
    if (action.sameIdAs !== undefined) record.setOperationId(this.getRecord(action.sameIdAs)?.operationId);
    const caller = new callers.ScriptedCaller(record, world.createRandom(), world.callers);
    this.scripted.set(action.name, caller);
    caller.beginAt(action.home, action.via);
  }

  private updateMachine(action: ActionOf<'kill' | 'restart' | 'stop' | 'freeze' | 'thaw'>): void {
    const { world } = this;
    const machine = world.machines.get(action.target)!;
    const state = machine.getState();
    switch (action.type) {
      case 'kill':
      case 'restart':
        if (state !== 'dead') {
          world.notifyMachine(action.target, 'killed');
          machine.kill();
          world.callers.handleGone(machine);
        }
        if (action.type === 'restart') {
          machine.start();
          world.platform.start(machine);
          world.notifyMachine(action.target, 'started');
        }
        world.platform.publishList();
        break;
      case 'stop':
        if (state !== 'running') return;
        world.notifyMachine(action.target, 'stopping');
        machine.deliver({ type: 'stop' });
        world.platform.publishList();
        break;
      case 'freeze':
        if (state !== 'running') return;
        machine.freeze();
        world.notifyMachine(action.target, 'frozen');
        break;
      case 'thaw':
        if (state !== 'frozen') return;
        world.notifyMachine(action.target, 'thawed');
        machine.thaw();
        break;
      // no default
    }
  }

  private updateInstance(action: ActionOf<'kill' | 'restart' | 'stop' | 'freeze' | 'thaw'>): void {
    const instance = this.world.instances.get(action.target);
    if (instance === undefined) return;
    if (action.type === 'kill') instance.kill();
    if (action.type === 'restart') instance.start(action.coldForMs);
    this.world.platform.publishList();
    this.world.notify({ type: 'instance-changed', instance });
  }

  private applyToInstance(action: ActionOf<'gray' | 'drain' | 'cold' | 'mislead'>): void {
    const instance = this.world.instances.get(action.instance);
    if (instance === undefined) return;
    if (action.type === 'gray') instance.mode = this.createMode(action);
    if (action.type === 'cold') instance.start(action.forMs);
    if (action.type === 'drain') instance.drain();
    if (action.type === 'mislead') {
      instance.reportedLoad = action.load;
      instance.health = action.health;
    }
    if (action.type === 'drain' || action.type === 'cold') this.world.platform.publishList();
    this.world.notify({ type: 'instance-changed', instance });
  }

  private createMode(action: ActionOf<'gray'>): upstreams.GrayMode | undefined {
    if (action.mode === 'none') return undefined;
    const mode = action.mode === 'slow'
      ? new upstreams.SlowMode(action.factor, action.share)
      : new upstreams.BadAnswerMode(action.mode === 'failing' ? 'failed' : action.mode, action.share);
    return action.periodMs > 0 ? new upstreams.FlappingMode(mode, this.world.getNowMs(), action.periodMs) : mode;
  }

  private publishDocument(changes: readonly contracts.ServiceChange[]): void {
    this.version += 1;
    const text = this.world.documents.writeText(this.version, changes);
    this.texts.set(this.version, text);
    this.world.platform.publishText(text);
  }

  private publishTwice(changes: readonly contracts.ServiceChange[]): void {
    this.version += 1;
    const first = this.world.documents.writeText(this.version, []);
    const second = this.world.documents.writeText(this.version, changes);
    this.texts.set(this.version, second);
    this.world.platform.publishText(first);
    this.world.queue.schedule(OPERATOR_GAP_MS, () => this.world.platform.publishText(second));
  }
}
