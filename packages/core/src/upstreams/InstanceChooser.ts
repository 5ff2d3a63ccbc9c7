import type * as randomness from '../randomness/index.js';
import type * as instance from './Instance.js';

const DRAWS = 4;

// Share of attempts that go to any instance, so that every VM keeps some evidence about instances that others prefer.
const EXPLORATION_SHARE = 0.05;

/** Chooses the instance of an attempt among those in rotation. */
export class InstanceChooser {
  private instances: readonly instance.Instance[] = [];

  private cumulativeWeights = new Float64Array(0);

  private totalWeight = 0;

  private preferredNames: ReadonlySet<string> = new Set();

  private preferred: readonly instance.Instance[] = [];

  /** @param random - Source of the random choice. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Sets the instances to choose from, after weights or instances changed.
   * @param instances - Instances of the service.
   */
  setInstances(instances: readonly instance.Instance[]): void {
    this.instances = instances.filter((each) => each.isInRotation());
    this.cumulativeWeights = new Float64Array(this.instances.length);
    this.totalWeight = 0;
    this.instances.forEach((each, index) => {
      this.totalWeight += each.weight;
      this.cumulativeWeights[index] = this.totalWeight;
    });
    this.preferred = this.instances.filter((each) => this.preferredNames.has(each.address.name));
  }

  /**
   * Sets the instances that this VM uses first.
   * @param names - Names of the instances.
   */
  setPreferred(names: readonly string[]): void {
    this.preferredNames = new Set(names);
    this.preferred = this.instances.filter((each) => this.preferredNames.has(each.address.name));
  }

  /** Whether any instance in rotation has a slot left. */
  hasCapacity(): boolean {
    return this.instances.some((each) => each.hasFreeSlot());
  }

  /** Draws whether an attempt goes to the preferred instances first. */
  shouldTryPreferred(): boolean {
    return this.preferred.length > 0 && this.random.drawFraction() >= EXPLORATION_SHARE;
  }

  /** Counts the slots of the preferred instances at full weight, which free again within a service time. */
  countPreferredSlots(): number {
    return this.preferred.reduce((sum, each) => sum + (each.weight < 1 ? 0 : each.getCurrentLimit()), 0);
  }

  /**
   * Chooses a preferred instance with a slot left, or undefined.
   * @param excluded - Names of instances that must not be chosen.
   * @param nowMs - Current time, in milliseconds.
   */
  choosePreferred(excluded: readonly string[], nowMs: number): instance.Instance | undefined {
    const { preferred } = this;
    const start = this.random.drawInteger(preferred.length);
    let best: instance.Instance | undefined;
    for (let step = 0; step < preferred.length; step += 1) {
      const candidate = preferred[(start + step) % preferred.length]!;
      if (candidate.hasFreeSlot() && !excluded.includes(candidate.address.name)) {
        // A lowered weight is an exact share of the work, also for the VM that prefers the instance.
        if (candidate.weight < 1) {
          if (this.random.drawFraction() * preferred.length < candidate.weight) return candidate;
        } else if (best === undefined || candidate.computeLoadScore(nowMs) < best.computeLoadScore(nowMs)) best = candidate;
      }
    }
    return best;
  }

  /**
   * Chooses among all instances in rotation.
   * @param excluded - Names of instances that must not be chosen.
   * @param nowMs - Current time, in milliseconds.
   */
  chooseAny(excluded: readonly string[], nowMs: number): instance.Instance | 'saturated' | 'none' {
    let first: instance.Instance | undefined;
    for (let draw = 0; draw < DRAWS; draw += 1) {
      const drawn = this.draw();
      if (drawn !== undefined && drawn !== first && drawn.hasFreeSlot() && !excluded.includes(drawn.address.name)) {
        // A lowered weight is an exact share of the work; comparing loads would favour the idle instance that it made.
        if (first === undefined && drawn.weight < 1) return drawn;
        if (first !== undefined) return drawn.weight < 1 || first.computeLoadScore(nowMs) <= drawn.computeLoadScore(nowMs) ? first : drawn;
        first = drawn;
      }
    }
    return first ?? this.selectAny(excluded);
  }

  // For when the draws met full instances only. Takes the highest weight, so steered instances are filled last.
  private selectAny(excluded: readonly string[]): instance.Instance | 'saturated' | 'none' {
    const { instances } = this;
    let chosen: instance.Instance | 'saturated' | 'none' = 'none';
    const start = instances.length === 0 ? 0 : this.random.drawInteger(instances.length);
    for (let step = 0; step < instances.length; step += 1) {
      const candidate = instances[(start + step) % instances.length]!;
      if (!excluded.includes(candidate.address.name)) {
        if (candidate.hasFreeSlot()) {
          if (typeof chosen === 'string' || candidate.weight > chosen.weight) chosen = candidate;
        } else if (chosen === 'none') chosen = 'saturated';
      }
    }
    return chosen;
  }

  private draw(): instance.Instance | undefined {
    const target = this.random.drawFraction() * this.totalWeight;
    let low = 0;
    let high = this.cumulativeWeights.length - 1;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.cumulativeWeights[middle]! > target) high = middle;
      else low = middle + 1;
    }
    return this.instances[low];
  }
}
