import type * as contracts from '../contracts/index.js';
import * as replay from '../replay/index.js';

/** Cost of one simulated run. */
export interface SpeedFigures {
  readonly deployment: string;
  readonly vms: number;
  readonly virtualMs: number;
  readonly requests: number;
  /** Processor time of the process in milliseconds. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

/** Measures the processor time that a simulated fleet takes. */
export class SpeedMeasurement {
  /**
   * Runs a deployment without faults.
   * @param plan - Deployment.
   * @param virtualMs - Length of the run in milliseconds.
   */
  static measure(plan: contracts.DeploymentPlan, virtualMs: number): SpeedFigures {
    const before = process.cpuUsage();
    const observed = new replay.ObservedWorld({ plan, seed: 1 });
    observed.world.advanceTo(virtualMs);
    const used = process.cpuUsage(before);
    return {
      deployment: plan.name,
      vms: plan.vms,
      virtualMs,
      requests: observed.services.listCounts().reduce((sum, count) => sum + count.requests, 0),
      processorMs: (used.user + used.system) / 1_000,
      residentBytes: process.memoryUsage.rss(),
    };
  }
}
