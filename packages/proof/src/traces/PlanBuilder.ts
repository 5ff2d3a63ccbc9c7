import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as lineReader from './LineReader.js';

const DETECTIONS = ['cautious', 'prompt', 'no-ejection', 'consecutive-errors', 'outlier-percentage'] as const;

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

const DEFAULT_LOAD_FROM_MS = 5_000;

type ServiceFields = Omit<core.contracts.ServiceContract, 'kinds'>;

interface ServiceDraft {
  readonly fields: ServiceFields;
  readonly plan: Omit<contracts.ServicePlan, 'contract' | 'serviceTimeMs'>;
  readonly kinds: core.contracts.RequestKind[];
  readonly serviceTimeMs: Map<string, number>;
}

/** Collects the directives that describe a deployment. */
export class PlanBuilder {
  private name = 'trace';

  private vms = 0;

  private readonly places: core.places.Place[] = [];

  private readonly services = new Map<string, ServiceDraft>();

  private readonly members: core.contracts.MemberContract[] = [];

  private loads: contracts.LoadPlan[] = [];

  private latency: contracts.LatencyPlan = { placesMs: 4.5, callersMs: 8, jitterMs: 0.5 };

  private loadFromMs = DEFAULT_LOAD_FROM_MS;

  /**
   * Applies one directive.
   * @param directive - First word of the line.
   * @param reader - Rest of the line.
   */
  apply(directive: string, reader: lineReader.LineReader): void {
    switch (directive) {
      case 'name':
        this.name = reader.takeName('name');
        break;
      case 'vms':
        this.vms = reader.takeNumber('number of VMs');
        break;
      case 'place':
        this.places.push({ name: reader.takeName('place'), region: reader.readText('region', 'region') });
        break;
      case 'service':
        this.addService(reader);
        break;
      case 'kind':
        this.addKind(reader);
        break;
      case 'member':
        this.members.push({
          name: reader.takeName('member'),
          counting: reader.readChoice('counting', ['weighted-on-time', 'lookups-on-time'], 'weighted-on-time'),
          share: reader.readNumber('share', 1),
          keyDigest: '',
        });
        break;
      case 'load':
        this.addLoad(reader);
        break;
      case 'load-from':
        this.loadFromMs = reader.takeDurationMs('time');
        break;
      case 'latency':
        this.latency = {
          placesMs: reader.readDurationMs('places', 4.5), callersMs: reader.readDurationMs('callers', 8), jitterMs: reader.readDurationMs('jitter', 0.5),
        };
        break;
      default:
        reader.refuse(`"${directive}" is no directive`);
    }
  }

  /** Returns why the deployment is not complete, or undefined if it is. */
  findGap(): string | undefined {
    if (this.vms < 1) return 'no VMs are declared';
    if (this.places.length === 0) return 'no place is declared';
    if (this.services.size === 0) return 'no service is declared';
    if (this.members.length === 0) return 'no member is declared';
    const empty = [...this.services.values()].find((service) => service.kinds.length === 0);
    return empty === undefined ? undefined : `service ${empty.fields.name} has no kind`;
  }

  /** Builds the deployment. */
  build(): contracts.DeploymentPlan {
    const {
      name, vms, places, members, loads, latency, loadFromMs,
    } = this;
    const services = [...this.services.values()].map((draft) => ({
      ...draft.plan, contract: { ...draft.fields, kinds: draft.kinds }, serviceTimeMs: draft.serviceTimeMs,
    }));
    return {
      name, vms, places, services, members, loads, latency, loadFromMs,
    };
  }

  private addService(reader: lineReader.LineReader): void {
    const name = reader.takeName('service');
    const known = this.services.get(name);
    const { fields, plan } = known ?? { fields: undefined, plan: undefined };
    // A trace may state a service of its preset again to change some of its fields.
    this.services.set(name, {
      fields: {
        name,
        floorInstances: reader.readNumber('floor', fields?.floorInstances),
        slotsPerInstance: reader.readNumber('slots', fields?.slotsPerInstance),
        connectionsPerInstance: reader.readNumber('connections', fields?.connectionsPerInstance),
        detection: reader.readChoice('detection', DETECTIONS, fields?.detection),
        requestIdEcho: reader.readChoice('echo', ['echoed', 'absent'], fields?.requestIdEcho ?? 'echoed'),
        notRunAnswers: reader.readChoice('not-run', ['declared', 'absent'], fields?.notRunAnswers ?? 'declared'),
        answerDigest: reader.readChoice('digest', ['sent', 'absent'], fields?.answerDigest ?? 'absent'),
      },
      plan: {
        instances: reader.readNumber('instances', plan?.instances),
        overload: reader.readChoice('overload', ['shed', 'queue'], plan?.overload ?? 'shed'),
        cancellation: reader.readChoice('cancel', ['confirmed', 'silent'], plan?.cancellation ?? 'confirmed'),
      },
      kinds: known?.kinds ?? [],
      serviceTimeMs: known?.serviceTimeMs ?? new Map(),
    });
  }

  private addKind(reader: lineReader.LineReader): void {
    const service = this.services.get(reader.takeName('service'));
    const name = reader.takeName('kind');
    if (service === undefined) reader.refuse('the service of the kind is not declared above');
    service?.serviceTimeMs.set(name, reader.readDurationMs('service-time'));
    service?.kinds.push({
      name,
      method: reader.readChoice('method', METHODS, 'GET'),
      pathPrefix: reader.readText('path', `/${name}`),
      repeatability: reader.readChoice('repeat', ['idempotent', 'non-idempotent'], 'idempotent'),
      priority: reader.readChoice('priority', ['interactive', 'background'], 'interactive'),
      weight: reader.readNumber('weight', 1),
      deadlineMs: reader.readDurationMs('deadline'),
      onTimeMs: reader.readDurationMs('on-time'),
    });
  }

  private addLoad(reader: lineReader.LineReader): void {
    const load = {
      member: reader.takeName('member'),
      service: reader.takeName('service'),
      kind: reader.takeName('kind'),
      perSecond: reader.readNumber('per-second'),
    };
    if (!this.members.some((member) => member.name === load.member)) reader.refuse(`member ${load.member} is not declared above`);
    const kinds = this.services.get(load.service)?.kinds ?? [];
    if (!kinds.some((kind) => kind.name === load.kind)) reader.refuse(`kind ${load.kind} of service ${load.service} is not declared above`);
    const others = this.loads.filter((other) => other.member !== load.member || other.service !== load.service || other.kind !== load.kind);
    this.loads = [...others, load];
  }
}
