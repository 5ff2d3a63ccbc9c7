import type * as route from './Route.js';

interface Part {
  readonly target: route.RouteTarget;
  credit: number;
}

/** Divides the requests of a route among its targets by weight, as evenly as whole requests allow (smooth weighted round robin). */
export class TrafficSplit {
  private readonly parts: readonly Part[];

  private readonly totalWeight: number;

  /** @param targets - Targets of the route. */
  constructor(targets: readonly route.RouteTarget[]) {
    this.totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
    this.parts = targets.map((target) => ({ target, credit: 0 }));
  }

  /**
   * Moves the split to a random point of its cycle.
   * @param fraction - Random number from 0 to below 1.
   */
  advance(fraction: number): void {
    this.parts.forEach((part, index) => {
      // eslint-disable-next-line no-param-reassign
      part.credit = index === 0 ? this.totalWeight * fraction : part.credit;
    });
  }

  /** Chooses the service of the next request. */
  chooseService(): string | undefined {
    this.parts.forEach((part) => {
      // eslint-disable-next-line no-param-reassign
      part.credit += part.target.weight;
    });
    const chosen = this.parts.reduce<Part | undefined>(
      (best, part) => (best === undefined || part.credit > best.credit ? part : best),
      undefined,
    );
    if (chosen === undefined) return undefined;
    chosen.credit -= this.totalWeight;
    return chosen.target.service;
  }
}
