import type * as contracts from '../contracts/index.js';
import * as traces from '../traces/index.js';
import type * as worlds from '../worlds/index.js';

// Faults begin when the fleet has served for a while, and last a minute.
const FAULT_FROM_MS = 15_000;

const FAULT_FOR_MS = 60_000;

const RECOVERY_MS = 15_000;

type GrayAction = Extract<worlds.WorldAction, { type: 'gray' }>;

/** Action of a scenario with its time. */
export interface ScenarioAction {
  readonly atMs: number;
  readonly action: worlds.WorldAction;
}

/** Fault under which the detection policies are compared. Services are taken in the order of the document. */
export class FaultScenario {
  /** Length of a run in milliseconds. */
  static readonly END_MS = FAULT_FROM_MS + FAULT_FOR_MS + RECOVERY_MS;

  private constructor(
    /** Name for tables. */
    readonly name: string,
    private readonly create: (plan: contracts.DeploymentPlan) => readonly ScenarioAction[],
  ) {}

  /**
   * Builds the actions for a deployment.
   * @param plan - Deployment.
   */
  buildActions(plan: contracts.DeploymentPlan): readonly ScenarioAction[] {
    return this.create(plan);
  }

  /** Lists all scenarios. */
  static listAll(): readonly FaultScenario[] {
    const gray = (name: string, fields: Partial<GrayAction>): FaultScenario => new FaultScenario(name, (plan) => plan.services.flatMap(
      (service, index) => FaultScenario.buildGray(traces.PlanNames.formatInstance(service.contract.name, index + 2), fields),
    ));
    return [
      new FaultScenario('none', () => []),
      gray('failing', { mode: 'failing', share: 0.35 }),
      gray('failing-rarely', { mode: 'failing', share: 0.1 }),
      gray('slow', { mode: 'slow', factor: 20 }),
      gray('silent', { mode: 'silent', share: 0.5 }),
      gray('truncated', { mode: 'truncated', share: 0.3 }),
      gray('crossed', { mode: 'crossed', share: 0.3 }),
      gray('flapping', { mode: 'failing', share: 0.6, periodMs: 8_000 }),
      new FaultScenario('two-gray', (plan) => plan.services.flatMap((service) => [1, 3].flatMap((index) => (
        FaultScenario.buildGray(traces.PlanNames.formatInstance(service.contract.name, index), { mode: 'failing', share: 0.5 })
      )))),
      new FaultScenario('one-way-cut', (plan) => FaultScenario.buildCut(plan)),
      new FaultScenario('cut-and-gray', (plan) => [
        ...FaultScenario.buildCut(plan),
        ...plan.services.flatMap((service) => (
          FaultScenario.buildGray(traces.PlanNames.formatInstance(service.contract.name, 3), { mode: 'failing', share: 0.5 })
        )),
      ]),
      new FaultScenario('overload', () => [
        { atMs: FAULT_FROM_MS, action: { type: 'load', factor: 2.5 } },
        { atMs: FAULT_FROM_MS + FAULT_FOR_MS, action: { type: 'load', factor: 1 } },
      ]),
      new FaultScenario('pauses', () => Array.from({ length: 4 }, (_, index) => index).flatMap((index): readonly ScenarioAction[] => [
        { atMs: FAULT_FROM_MS + index * 10_000, action: { type: 'freeze', target: traces.PlanNames.formatVm(index) } },
        { atMs: FAULT_FROM_MS + index * 10_000 + 3_000, action: { type: 'thaw', target: traces.PlanNames.formatVm(index) } },
      ])),
      new FaultScenario('loss', (plan) => FaultScenario.buildLoss(plan)),
    ];
  }

  private static buildGray(instance: string, fields: Partial<GrayAction>): readonly ScenarioAction[] {
    const action: GrayAction = {
      type: 'gray', instance, mode: 'failing', share: 1, factor: 1, periodMs: 0, ...fields,
    };
    return [
      { atMs: FAULT_FROM_MS, action },
      { atMs: FAULT_FROM_MS + FAULT_FOR_MS, action: { ...action, mode: 'none' } },
    ];
  }

  private static buildCut(plan: contracts.DeploymentPlan): readonly ScenarioAction[] {
    const [from, to] = plan.places.map((place) => place.name);
    return FaultScenario.buildLink({ from: from ?? 'all', to: to ?? 'all', state: 'cut' });
  }

  private static buildLoss(plan: contracts.DeploymentPlan): readonly ScenarioAction[] {
    const [from, to] = plan.places.map((place) => place.name);
    return FaultScenario.buildLink({ from: from ?? 'all', to: to ?? 'all', state: 'disturbed' });
  }

  private static buildLink(ends: { readonly from: string; readonly to: string; readonly state: 'cut' | 'disturbed' }): readonly ScenarioAction[] {
    const condition = {
      ...ends, delayMs: 0, lossShare: ends.state === 'cut' ? 0 : 0.05, duplicateShare: 0, reorderShare: 0,
    };
    return [
      { atMs: FAULT_FROM_MS, action: { type: 'link', condition } },
      { atMs: FAULT_FROM_MS + FAULT_FOR_MS, action: { type: 'heal', from: ends.from, to: ends.to } },
    ];
  }
}
