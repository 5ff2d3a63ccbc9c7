import type * as route from './Route.js';

interface WeightedTarget {
  readonly target: route.RouteTarget;
  currentWeight: number;
}

/** Divides the requests of a route among its targets by weight, as evenly as whole requests allow (smooth weighted round robin). */
export class TrafficSplit {
  private readonly weightedTargets: readonly WeightedTarget[];

  private readonly totalWeight: number;

  /** @param targets - Targets of the route. */
  constructor(targets: readonly route.RouteTarget[]) {
    // A target with the weight 0 gets nothing, also at a random point of the cycle.
    const used = targets.filter((target) => target.weight > 0);
    this.totalWeight = used.reduce((sum, target) => sum + target.weight, 0);
    this.weightedTargets = used.map((target) => ({ target, currentWeight: 0 }));
  }

  /**
   * Moves the split to a random point of its cycle.
   * @param fraction - Random number from 0 to below 1.
   */
  advance(fraction: number): void {
    this.weightedTargets.forEach((weighted, index) => {
      // eslint-disable-next-line no-param-reassign
      weighted.currentWeight = index === 0 ? this.totalWeight * fraction : weighted.currentWeight;
    });
  }

  /** Chooses the service of the next request. */
  chooseService(): string | undefined {
    this.weightedTargets.forEach((weighted) => {
      // eslint-disable-next-line no-param-reassign
      weighted.currentWeight += weighted.target.weight;
    });
    const chosen = this.weightedTargets.reduce<WeightedTarget | undefined>(
      (best, weighted) => (best === undefined || weighted.currentWeight > best.currentWeight ? weighted : best),
      undefined,
    );
    if (chosen === undefined) return undefined;
    chosen.currentWeight -= this.totalWeight;
    return chosen.target.service;
  }
}
