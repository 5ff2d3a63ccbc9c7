#!/usr/bin/env node
import * as cac from 'cac';

import * as fuzzCampaign from './FuzzCampaign.js';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printReport(report: fuzzCampaign.FuzzReport): void {
  const { failure } = report;
  if (failure === undefined) {
    print(`fuzz: seed ${report.seed}, ${report.runs} runs, no promise broken, digest ${report.digest.slice(0, 16)}`);
    return;
  }
  process.exitCode = 1;
  print(`# fuzz: seed ${report.seed}, run ${report.runs} failed; replay this trace`);
  failure.violations.slice(0, 5).forEach((violation) => print(`# ${violation.promise} at ${(violation.atMs / 1_000).toFixed(3)}s: ${violation.detail}`));
  print(failure.trace);
}

const program = cac.cac('fuzz');
program.usage('[--seed N] [--runs N] [--deployment NAME] [--commands N]');
program.option('--seed <seed>', 'Seed', { default: 1 });
program.option('--runs <runs>', 'Number of sequences', { default: 50 });
program.option('--deployment <name>', 'Preset', { default: 'small' });
program.option('--commands <count>', 'Longest sequence', { default: 40 });
program.help();
const { options } = program.parse();
if (options['help'] !== true) {
  fuzzCampaign.FuzzCampaign.run({
    seed: Number(options['seed']), runs: Number(options['runs']), deployment: String(options['deployment']), maxCommands: Number(options['commands']),
  }).match(printReport, (failure) => {
    process.exitCode = 2;
    print(`fuzz: ${failure.reason}`);
  });
}
