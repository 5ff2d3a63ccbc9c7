import type * as contracts from '../contracts/index.js';
import type * as policyMeasurement from './PolicyMeasurement.js';

// Most extra load from retries and hedged requests.
const EXTRA_LOAD_LIMIT = 0.1;

interface Weights {
  /** Cost of each second for which a gray instance got more than a trial share. */
  readonly exposureSecond: number;
  /** Cost of each false ejection per instance-hour. */
  readonly falseEjection: number;
}

// A deployment that counts weighted answers values false ejections more, one that counts lookups values detection time more.
const WEIGHTS: Readonly<Record<'weighted-on-time' | 'lookups-on-time', Weights>> = {
  'weighted-on-time': { exposureSecond: 1, falseEjection: 5 },
  'lookups-on-time': { exposureSecond: 5, falseEjection: 1 },
};

/** Line of the comparison. */
export interface ComparisonRow extends Omit<policyMeasurement.PolicyFigures, 'exposuresMs'> {
  readonly exposureMedianMs: number | undefined;
  readonly exposureP99Ms: number | undefined;
  readonly falseEjectionsPerInstanceHour: number;
  /** Weighted cost of exposure and false ejections; less is better. */
  readonly cost: number;
  /** Whether each target is met; only for the deployment's own policy. */
  readonly targets: undefined | {
    /** No baseline costs less under the same fault. */
    readonly cost: 'met' | 'not-met';
    /** No baseline gives a greater share of correct answers on time. */
    readonly share: 'met' | 'not-met';
    readonly extraLoad: 'met' | 'not-met';
    readonly promises: 'met' | 'not-met';
  };
}

// Differences below this are within the noise of the arrivals.
const SHARE_NOISE = 0.002;

/** Compares the policies of one deployment. */
export class PolicyComparison {
  private readonly weights: Weights;

  /** @param plan - Deployment with its own policy. */
  constructor(plan: contracts.DeploymentPlan) {
    this.weights = WEIGHTS[plan.members[0]?.counting ?? 'weighted-on-time'];
  }

  /**
   * Builds the lines of one fault.
   * @param figures - Figures of all policies under the fault.
   */
  buildRows(figures: readonly policyMeasurement.PolicyFigures[]): readonly ComparisonRow[] {
    const rows = figures.map((figure) => this.buildRow(figure));
    const baselines = rows.filter((row) => row.policy !== 'own');
    return rows.map((row) => (row.policy === 'own' ? { ...row, targets: PolicyComparison.checkTargets(row, baselines) } : row));
  }

  private buildRow(figure: policyMeasurement.PolicyFigures): ComparisonRow {
    const { exposuresMs, ...rest } = figure;
    const sorted = [...exposuresMs].sort((left, right) => left - right);
    const falseEjectionsPerInstanceHour = figure.falseEjections / figure.instanceHours;
    const meanS = sorted.length === 0 ? 0 : sorted.reduce((sum, value) => sum + value, 0) / sorted.length / 1_000;
    return {
      ...rest,
      exposureMedianMs: sorted[Math.floor((sorted.length - 1) / 2)],
      exposureP99Ms: sorted[Math.ceil((sorted.length - 1) * 0.99)],
      falseEjectionsPerInstanceHour,
      cost: this.weights.exposureSecond * meanS + this.weights.falseEjection * falseEjectionsPerInstanceHour,
      targets: undefined,
    };
  }

  private static checkTargets(row: ComparisonRow, baselines: readonly ComparisonRow[]): NonNullable<ComparisonRow['targets']> {
    const rate = (met: boolean): 'met' | 'not-met' => (met ? 'met' : 'not-met');
    return {
      cost: rate(baselines.every((baseline) => row.cost <= baseline.cost)),
      share: rate(baselines.every((baseline) => row.onTimeShare >= baseline.onTimeShare - SHARE_NOISE)),
      extraLoad: rate(row.extraLoad <= EXTRA_LOAD_LIMIT),
      promises: rate(Object.keys(row.violations).length === 0),
    };
  }
}
