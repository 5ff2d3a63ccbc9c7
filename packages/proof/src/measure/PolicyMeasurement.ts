import type * as core from '@tamarackferry/core';

import type * as contracts from '../contracts/index.js';
import type * as promises from '../promises/index.js';
import * as replay from '../replay/index.js';
import * as faultScenario from './FaultScenario.js';

/** Policy of a deployment's own document, or a baseline for all its services. */
export type MeasuredPolicy = 'own' | 'no-ejection' | 'consecutive-errors' | 'outlier-percentage';

/** Figures of one policy under one fault, over all seeds. */
export interface PolicyFigures {
  readonly deployment: string;
  readonly fault: string;
  readonly policy: MeasuredPolicy;
  /** Time for which each gray instance got more than a trial share, in milliseconds. */
  readonly exposuresMs: readonly number[];
  readonly falseEjections: number;
  readonly instanceHours: number;
  readonly onTimeShare: number;
  /** Attempts over requests, minus one. */
  readonly extraLoad: number;
  readonly violations: Readonly<Partial<Record<promises.PromiseName, number>>>;
}

/** Measures one policy under one fault. */
export class PolicyMeasurement {
  /**
   * Applies a baseline to the services of a deployment.
   * @param plan - Deployment.
   * @param policy - Policy to measure.
   */
  static applyPolicy(plan: contracts.DeploymentPlan, policy: MeasuredPolicy): contracts.DeploymentPlan {
    if (policy === 'own') return plan;
    const detection: core.contracts.DetectionPolicyName = policy;
    return { ...plan, services: plan.services.map((service) => ({ ...service, contract: { ...service.contract, detection } })) };
  }

  /**
   * Runs a scenario once for each seed.
   * @param plan - Deployment with its own policy.
   * @param scenario - Fault.
   * @param policy - Policy to measure.
   * @param seeds - Seeds.
   */
  static measure(
    plan: contracts.DeploymentPlan,
    scenario: faultScenario.FaultScenario,
    policy: MeasuredPolicy,
    seeds: readonly number[],
  ): PolicyFigures {
    const worlds = seeds.map((seed) => PolicyMeasurement.run(PolicyMeasurement.applyPolicy(plan, policy), scenario, seed));
    const instances = plan.services.reduce((sum, service) => sum + service.instances, 0);
    const violations: Partial<Record<promises.PromiseName, number>> = {};
    worlds.flatMap((observed) => observed.listViolations()).forEach(({ promise }) => {
      violations[promise] = (violations[promise] ?? 0) + 1;
    });
    return {
      deployment: plan.name,
      fault: scenario.name,
      policy,
      exposuresMs: worlds.flatMap((observed) => observed.detection.listExposuresMs()),
      falseEjections: worlds.reduce((sum, observed) => sum + observed.ejections.countFalseEjections(), 0),
      instanceHours: (instances * seeds.length * faultScenario.FaultScenario.END_MS) / 3_600_000,
      onTimeShare: worlds.reduce((sum, observed) => sum + observed.services.computeOnTimeShare(), 0) / worlds.length,
      extraLoad: worlds.reduce((sum, observed) => sum + observed.services.computeExtraLoad(), 0) / worlds.length,
      violations,
    };
  }

  private static run(plan: contracts.DeploymentPlan, scenario: faultScenario.FaultScenario, seed: number): replay.ObservedWorld {
    const observed = new replay.ObservedWorld({ plan, seed });
    const actions = [...scenario.buildActions(plan)].sort((left, right) => left.atMs - right.atMs);
    actions.forEach(({ atMs, action }) => observed.injectAt(atMs, action));
    observed.world.advanceTo(faultScenario.FaultScenario.END_MS);
    return observed;
  }
}
