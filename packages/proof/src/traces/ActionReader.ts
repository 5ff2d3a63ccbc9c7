import type * as contracts from '../contracts/index.js';
import type * as worlds from '../worlds/index.js';
import type * as lineReader from './LineReader.js';
import type * as planNames from './PlanNames.js';

const GRAY_MODES = ['failing', 'slow', 'truncated', 'crossed', 'late', 'silent', 'none'] as const;

const DETECTIONS = ['cautious', 'prompt', 'no-ejection', 'consecutive-errors', 'outlier-percentage'] as const;

const DEFAULT_COLD_MS = 10_000;

/** Reads the actions of timed lines. */
export class ActionReader {
  private readonly requests = new Set<string>();

  /** @param names - Names of the deployment. */
  constructor(private readonly names: planNames.PlanNames) {}

  /** Names of the requests that were read. */
  get requestNames(): ReadonlySet<string> {
    return this.requests;
  }

  /**
   * Reads one action.
   * @param verb - Word that names the action.
   * @param reader - Rest of the line.
   */
  read(verb: string, reader: lineReader.LineReader): worlds.WorldAction | undefined {
    switch (verb) {
      case 'request':
        return this.readRequest(reader);
      case 'repeat':
        return { type: 'repeat', name: this.takeRequest(reader), via: this.readVm(reader, 'via') };
      case 'cancel':
        return { type: 'cancel', name: this.takeRequest(reader) };
      case 'load':
        return { type: 'load', factor: reader.readNumber('factor') };
      case 'kill':
        return { type: 'kill', target: this.takeTarget(reader) };
      case 'restart':
        return { type: 'restart', target: this.takeTarget(reader), coldForMs: reader.readDurationMs('cold', DEFAULT_COLD_MS) };
      case 'stop':
      case 'freeze':
      case 'thaw':
        return { type: verb, target: this.takeVm(reader) };
      case 'cut':
      case 'disturb':
        return this.readLink(verb, reader);
      case 'heal':
        return this.readHeal(reader);
      case 'platform':
        return this.readPlatform(reader);
      case 'list-lag':
        return { type: 'list-lag', lagMs: reader.takeDurationMs('lag') };
      case 'gray':
        return this.readGray(reader);
      case 'drain':
        return { type: 'drain', instance: this.takeInstance(reader) };
      case 'cold':
        return { type: 'cold', instance: this.takeInstance(reader), forMs: reader.readDurationMs('for', DEFAULT_COLD_MS) };
      case 'mislead':
        return {
          type: 'mislead',
          instance: this.takeInstance(reader),
          load: reader.hasField('load') ? reader.readNumber('load') : undefined,
          health: reader.readChoice('health', ['truthful', 'unhealthy'], 'truthful'),
        };
      case 'document':
        return { type: 'document', changes: this.readChanges(reader) };
      case 'operators':
        return { type: 'operators', changes: this.readChanges(reader) };
      default:
        reader.refuse(`"${verb}" is no action`);
        return undefined;
    }
  }

  private readRequest(reader: lineReader.LineReader): worlds.WorldAction {
    const name = reader.takeName('request');
    const service = reader.takeName('service');
    const kind = reader.takeName('kind');
    const plan = this.names.plan.services.find((candidate) => candidate.contract.name === service);
    if (!(plan?.contract.kinds.some((candidate) => candidate.name === kind) ?? false)) reader.refuse(`service ${service} has no kind ${kind}`);
    const member = reader.readText('member', this.names.plan.members[0]?.name ?? '');
    if (!this.names.plan.members.some((candidate) => candidate.name === member)) reader.refuse(`member ${member} is not declared`);
    const via = this.readVm(reader, 'via');
    const home = reader.hasField('home') ? this.readVm(reader, 'home') : via;
    const sameIdAs = reader.hasField('same-id-as') ? reader.readText('same-id-as') : undefined;
    if (sameIdAs !== undefined && !this.requests.has(sameIdAs)) reader.refuse(`request ${sameIdAs} is not stated above`);
    if (this.requests.has(name)) reader.refuse(`request ${name} is stated twice; use repeat`);
    this.requests.add(name);
    return {
      type: 'request', name, member, service, kind, home, via, sameIdAs,
    };
  }

  private readLink(verb: 'cut' | 'disturb', reader: lineReader.LineReader): worlds.WorldAction {
    const cut = verb === 'cut';
    return {
      type: 'link',
      condition: {
        from: this.takeEnd(reader),
        to: this.takeEnd(reader),
        state: cut ? 'cut' : 'disturbed',
        delayMs: cut ? 0 : reader.readDurationMs('delay', 0),
        lossShare: cut ? 0 : reader.readNumber('loss', 0),
        duplicateShare: cut ? 0 : reader.readNumber('duplicate', 0),
        reorderShare: cut ? 0 : reader.readNumber('reorder', 0),
      },
    };
  }

  private readHeal(reader: lineReader.LineReader): worlds.WorldAction {
    const from = this.takeEnd(reader);
    return { type: 'heal', from, to: from === 'all' ? 'all' : this.takeEnd(reader) };
  }

  private readPlatform(reader: lineReader.LineReader): worlds.WorldAction {
    const state = reader.takeChoice('platform state', ['up', 'down', 'stale'] as const);
    return { type: 'platform', state, version: reader.hasField('version') ? reader.readNumber('version') : undefined };
  }

  private readGray(reader: lineReader.LineReader): worlds.WorldAction {
    return {
      type: 'gray',
      instance: this.takeInstance(reader),
      mode: reader.takeChoice('gray mode', GRAY_MODES),
      share: reader.readNumber('share', 1),
      factor: reader.readNumber('factor', 10),
      periodMs: reader.readDurationMs('period', 0),
    };
  }

  private readChanges(reader: lineReader.LineReader): readonly contracts.ServiceChange[] {
    const service = reader.takeName('service');
    if (!this.names.services.has(service)) reader.refuse(`service ${service} is not declared`);
    return [{
      service,
      ...(reader.hasField('floor') ? { floorInstances: reader.readNumber('floor') } : {}),
      ...(reader.hasField('detection') ? { detection: reader.readChoice('detection', DETECTIONS) } : {}),
    }];
  }

  private takeRequest(reader: lineReader.LineReader): string {
    const name = reader.takeName('request');
    if (!this.requests.has(name)) reader.refuse(`request ${name} is not stated above`);
    return name;
  }

  private takeVm(reader: lineReader.LineReader): string {
    return this.checkVm(reader, reader.takeName('VM'));
  }

  private readVm(reader: lineReader.LineReader, key: string): string {
    return this.checkVm(reader, reader.readText(key));
  }

  private checkVm(reader: lineReader.LineReader, name: string): string {
    if (!this.names.vms.has(name)) reader.refuse(`there is no VM ${name}`);
    return name;
  }

  private takeInstance(reader: lineReader.LineReader): string {
    const name = reader.takeName('instance');
    if (!this.names.instances.has(name)) reader.refuse(`there is no instance ${name}`);
    return name;
  }

  private takeTarget(reader: lineReader.LineReader): string {
    const name = reader.takeName('VM or instance');
    if (!this.names.vms.has(name) && !this.names.instances.has(name)) reader.refuse(`there is no VM or instance ${name}`);
    return name;
  }

  private takeEnd(reader: lineReader.LineReader): string {
    const name = reader.takeName('end of the link');
    if (!this.names.hasEnd(name)) reader.refuse(`"${name}" is no VM, instance, place, or one of vms, instances, callers, platform, all`);
    return name;
  }
}
