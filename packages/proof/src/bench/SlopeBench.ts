import * as v8 from 'node:v8';
import * as nodeVm from 'node:vm';

import * as fleetFixture from './FleetFixture.js';
import * as fleetSize from './FleetSize.js';
import * as measuredVm from './MeasuredVm.js';

const CONTROL_SECONDS = 60;
const REQUESTS = 20_000;

/** Cost of one VM at one size. */
export interface SlopePoint extends measuredVm.VmCost {
  readonly value: number;
}

/** Cost of one VM against one dimension of the fleet. */
export interface Slope {
  readonly dimension: keyof fleetSize.FleetSize;
  readonly points: readonly SlopePoint[];
  /** Least-squares slope of each cost for one more unit of the dimension. */
  readonly perUnit: measuredVm.VmCost;
}

const COSTS = ['controlCpuShare', 'controlBytesPerSecond', 'heapBytes', 'requestCpuMicroseconds'] as const;

const DIMENSIONS: readonly (readonly [keyof fleetSize.FleetSize, readonly number[]])[] = [
  ['vms', [48, 400, 1_600, 6_400]],
  ['services', [2, 8, 32]],
  ['instancesPerService', [18, 72, 288]],
  ['kindsPerService', [4, 40, 400]],
  ['members', [10, 1_000, 10_000]],
  ['changesPerMinute', [0, 2, 9]],
];

function computeSlope(points: readonly SlopePoint[], cost: keyof measuredVm.VmCost): number {
  const meanX = points.reduce((sum, point) => sum + point.value, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point[cost], 0) / points.length;
  const covariance = points.reduce((sum, point) => sum + (point.value - meanX) * (point[cost] - meanY), 0);
  return covariance / points.reduce((sum, point) => sum + (point.value - meanX) ** 2, 0);
}

/** Measures what one VM costs for control and requests against the size of the fleet. */
export class SlopeBench {
  private readonly collectGarbage: () => void;

  /** Prepares the measurement of memory. */
  constructor() {
    v8.setFlagsFromString('--expose-gc');
    this.collectGarbage = nodeVm.runInNewContext('gc') as () => void;
  }

  /** Measures all dimensions, each alone, from the size of today. */
  run(): readonly Slope[] {
    // The first run pays for compilation, which is no cost of the fleet's size.
    this.measurePoint(fleetSize.TODAY, 0);
    return DIMENSIONS.map(([dimension, values]) => {
      const points = values.map((value) => this.measurePoint({ ...fleetSize.TODAY, [dimension]: value }, value));
      const perUnit = Object.fromEntries(COSTS.map((cost) => [cost, computeSlope(points, cost)])) as unknown as measuredVm.VmCost;
      return { dimension, points, perUnit };
    });
  }

  private measurePoint(size: fleetSize.FleetSize, value: number): SlopePoint {
    const fixture = new fleetFixture.FleetFixture(size);
    this.collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const measured = new measuredVm.MeasuredVm(fixture);
    measured.start();
    this.collectGarbage();
    const heapBytes = process.memoryUsage().heapUsed - before;
    const control = measured.measureControl(CONTROL_SECONDS);
    const requests = measured.measureRequests(REQUESTS);
    return {
      value, heapBytes, ...control, ...requests,
    };
  }
}
