import type * as randomness from '../randomness/index.js';
import type * as instance from './Instance.js';

const DRAWS = 4;

// Share of the attempts that go to any instance, so that each VM also observes instances that other VMs prefer.
const EXPLORATION_SHARE = 0.05;

/** Chooses the instance for an attempt among those in rotation. */
export class InstanceChooser {
  private instances: readonly instance.Instance[] = [];

  // Cumulative sums of the weights of `instances`, for the weighted random choice.
  private cumulativeWeights = new Float64Array(0);

  private totalWeight = 0;

  private preferredNames: ReadonlySet<string> = new Set();

  private preferred: readonly instance.Instance[] = [];

  /** @param random - Source of the random choice. */
  constructor(private readonly random: randomness.RandomSource) {}

  /**
   * Sets the instances to choose from. To be called after each change of the instances or of their weights.
   * @param instances - All instances of the service; those out of rotation are ignored.
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
   * Sets the instances that this VM prefers.
   * @param names - Names of the instances.
   */
  setPreferred(names: readonly string[]): void {
    this.preferredNames = new Set(names);
    this.preferred = this.instances.filter((each) => this.preferredNames.has(each.address.name));
  }

  /** Whether any instance in rotation has a free slot. */
  hasCapacity(): boolean {
    return this.instances.some((each) => each.hasFreeSlot());
  }

  /** Decides at random whether an attempt tries the preferred instances first. */
  shouldTryPreferred(): boolean {
    return this.preferred.length > 0 && this.random.drawFraction() >= EXPLORATION_SHARE;
  }

  /** Counts the slots of the preferred instances at full weight; as a rule, each becomes free within one service time. */
  countPreferredSlots(): number {
    return this.preferred.reduce((sum, each) => sum + (each.weight < 1 ? 0 : each.getCurrentLimit()), 0);
  }

  /**
   * Chooses a preferred instance with a free slot.
   * @param excluded - Names of instances that must not be chosen.
   * @param nowMs - Current time, in milliseconds.
   * @returns Chosen instance, or undefined if all preferred ones are full or excluded.
   */
  choosePreferred(excluded: readonly string[], nowMs: number): instance.Instance | undefined {
    const { preferred } = this;
    const start = this.random.drawInteger(preferred.length);
    let best: instance.Instance | undefined;
    for (let step = 0; step < preferred.length; step += 1) {
      const candidate = preferred[(start + step) % preferred.length]!;
      if (candidate.hasFreeSlot() && !excluded.includes(candidate.address.name)) {
        // An instance with a weight below 1 gets this share of the attempts, whatever its load is.
        if (candidate.weight < 1) {
          if (this.random.drawFraction() * preferred.length < candidate.weight) return candidate;
        } else if (best === undefined || candidate.computeLoadScore(nowMs) < best.computeLoadScore(nowMs)) best = candidate;
      }
    }
    return best;
  }

  /**
   * Chooses among all instances in rotation: draws instances at random by weight, and chooses the less loaded of two with a free slot.
   * @param excluded - Names of instances that must not be chosen.
   * @param nowMs - Current time, in milliseconds.
   * @returns Chosen instance, `saturated` if all instances are full, or `none` if there is no instance to choose from.
   */
  chooseAny(excluded: readonly string[], nowMs: number): instance.Instance | 'saturated' | 'none' {
    let first: instance.Instance | undefined;
    for (let draw = 0; draw < DRAWS; draw += 1) {
      const drawn = this.draw();
      if (drawn !== undefined && drawn !== first && drawn.hasFreeSlot() && !excluded.includes(drawn.address.name)) {
        // An instance with a weight below 1 gets exactly its share of the attempts. It is less loaded for that reason, so a comparison of
        // loads would choose it more often.
        if (first === undefined && drawn.weight < 1) return drawn;
        if (first !== undefined) return drawn.weight < 1 || first.computeLoadScore(nowMs) <= drawn.computeLoadScore(nowMs) ? first : drawn;
        first = drawn;
      }
    }
    return first ?? this.selectAny(excluded);
  }

  // Used if none of the drawn instances has a free slot. Chooses the greatest weight, so that deprioritized instances are filled last.
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
