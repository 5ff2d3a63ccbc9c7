import type * as contracts from '../contracts/index.js';

/** Names that the timed lines of a trace may use. */
export class PlanNames {
  readonly vms: ReadonlySet<string>;

  readonly instances: ReadonlySet<string>;

  readonly services: ReadonlySet<string>;

  private readonly ends: ReadonlySet<string>;

  /** @param plan - Deployment of the trace. */
  constructor(readonly plan: contracts.DeploymentPlan) {
    this.vms = new Set(Array.from({ length: plan.vms }, (_, index) => PlanNames.formatVm(index)));
    this.instances = new Set(plan.services.flatMap((service) => (
      Array.from({ length: service.instances }, (_, index) => PlanNames.formatInstance(service.contract.name, index))
    )));
    this.services = new Set(plan.services.map((service) => service.contract.name));
    this.ends = new Set([
      ...this.vms, ...this.instances, ...plan.places.map((place) => place.name), 'vms', 'instances', 'callers', 'platform', 'all',
    ]);
  }

  /**
   * Returns whether a name may stand at one end of a link condition.
   * @param name - Name to look up.
   */
  hasEnd(name: string): boolean {
    return this.ends.has(name);
  }

  /**
   * Formats the name of a VM.
   * @param index - Number of the VM from 0.
   */
  static formatVm(index: number): string {
    return `vm-${String(index + 1).padStart(2, '0')}`;
  }

  /**
   * Formats the name of an instance.
   * @param service - Service of the instance.
   * @param index - Number of the instance from 0.
   */
  static formatInstance(service: string, index: number): string {
    return `${service}-${String(index + 1).padStart(2, '0')}`;
  }
}
