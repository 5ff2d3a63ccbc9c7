#!/usr/bin/env node
import * as cac from 'cac';

import type * as contracts from '../contracts/index.js';
import * as traces from '../traces/index.js';
import * as comparisonTable from './ComparisonTable.js';
import * as faultScenario from './FaultScenario.js';
import * as policyComparison from './PolicyComparison.js';
import * as policyMeasurement from './PolicyMeasurement.js';
import * as speedMeasurement from './SpeedMeasurement.js';

const POLICIES = ['own', 'no-ejection', 'consecutive-errors', 'outlier-percentage'] as const;

const SPEED_RUN_MS = 600_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function parseSeeds(text: string): readonly number[] {
  const [first = 1, last = first] = text.split('..').map(Number);
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

interface MeasureOptions {
  readonly seeds: readonly number[];
  readonly faults: readonly string[];
  readonly format: 'text' | 'json';
}

function measureDeployment(plan: contracts.DeploymentPlan, { seeds, faults, format }: MeasureOptions): void {
  const comparison = new policyComparison.PolicyComparison(plan);
  const scenarios = faultScenario.FaultScenario.listAll().filter((scenario) => faults.length === 0 || faults.includes(scenario.name));
  scenarios.forEach((scenario) => {
    const figures = POLICIES.map((policy) => policyMeasurement.PolicyMeasurement.measure(plan, scenario, policy, seeds));
    comparison.buildRows(figures).forEach((row) => print(format === 'json' ? JSON.stringify(row) : comparisonTable.ComparisonTable.formatRow(row)));
  });
}

const program = cac.cac('measure');
program.usage('[--seeds A..B] [--json] [--deployments A,B] [--faults A,B] [--speed]');
program.option('--seeds <range>', 'Seeds', { default: '1..1' });
program.option('--json', 'Print one JSON object a line');
program.option('--deployments <names>', 'Presets', { default: 'hallvik,ljubljana' });
program.option('--faults <names>', 'Faults; all if not given', { default: '' });
program.option('--speed', 'Measure the processor time of ten virtual minutes');
program.help();
const { options } = program.parse();
if (options['help'] !== true) {
  const format = options['json'] === true ? 'json' : 'text';
  const parser = new traces.TraceParser(new traces.DirectoryPresetSource());
  if (format === 'text' && options['speed'] !== true) print(comparisonTable.ComparisonTable.formatHeading());
  String(options['deployments']).split(',').forEach((name) => parser.parse(`deployment ${name}`).match(
    ({ plan }) => {
      if (options['speed'] === true) print(JSON.stringify(speedMeasurement.SpeedMeasurement.measure(plan, SPEED_RUN_MS)));
      else {
        measureDeployment(plan, {
          seeds: parseSeeds(String(options['seeds'])), faults: String(options['faults']).split(',').filter((fault) => fault !== ''), format,
        });
      }
    },
    (failure) => {
      process.exitCode = 2;
      print(`measure: ${failure.reason}`);
    },
  ));
}
