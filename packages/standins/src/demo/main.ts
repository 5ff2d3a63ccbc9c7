import * as cac from 'cac';
import * as entry from '@tamarackferry/entry';

import * as demo from './Demo.js';
import * as demoFailure from './DemoFailure.js';
import * as demoReport from './DemoReport.js';

const EXIT_FAILURE = 1;
const EXIT_WRONG_ARGUMENTS = 2;
const EXIT_INTERRUPTED = 130;

const log = new entry.vms.ProcessLog();

function printSummary(observations: ReadonlyMap<string, demoReport.DemoObservations>, format: 'json' | 'text'): number {
  const total = new demoReport.DemoReport([...observations.values()]);
  const outcomes = total.listOutcomes();
  const state = outcomes.every((outcome) => outcome.state === 'held') ? 'held' : 'broken';
  const deployments = Object.fromEntries([...observations].map(([name, each]) => (
    [name, new demoReport.DemoReport([each]).computeFigures()])));
  [...observations].forEach(([name, { breaches }]) => breaches.forEach((breach) => log.write('error', 'upstreams', `${name}: ${breach}`)));
  outcomes.forEach((outcome) => log.write(outcome.state === 'held' ? 'info' : 'error', 'vm', `${outcome.state}: ${outcome.name}`));
  const summary = {
    state, outcomes, deployments, total: total.computeFigures(),
  };
  process.stdout.write(`${format === 'json' ? JSON.stringify(summary) : JSON.stringify({ ...deployments, total: summary.total }, undefined, 2)}\n`);
  return state === 'held' ? 0 : EXIT_FAILURE;
}

async function runDemo(format: 'json' | 'text'): Promise<number> {
  const run = new demo.Demo();
  // Child processes must not outlive the demo, whatever ends it.
  process.on('exit', () => run.close());
  (['SIGINT', 'SIGTERM', 'SIGHUP'] as const).forEach((signal) => process.on(signal, () => process.exit(EXIT_INTERRUPTED)));
  const result = await run.run();
  return result.match((observations) => printSummary(observations, format), (failure) => {
    log.write('error', 'vm', demoFailure.describeFailure(failure));
    return EXIT_FAILURE;
  });
}

async function main(): Promise<number> {
  const cli = cac.cac('tamarackferry-demo');
  cli.option('--json', 'Print one JSON object last');
  cli.help();
  try {
    const { options } = cli.parse(process.argv, { run: false });
    if (options['help'] === true) return 0;
    cli.globalCommand.checkUnknownOptions();
    return await runDemo(options['json'] === true ? 'json' : 'text');
  } catch (error) {
    log.write('error', 'vm', error instanceof Error ? error.message : 'the arguments cannot be read');
    return EXIT_WRONG_ARGUMENTS;
  }
}

process.exit(await main());
