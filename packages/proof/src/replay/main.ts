#!/usr/bin/env node
import * as cac from 'cac';

import * as replayCommand from './ReplayCommand.js';

const program = cac.cac('replay');
program.usage('FILE... [--json]').option('--json', 'Print one JSON object a file');
program.help();
const { args, options } = program.parse();
if (options['help'] !== true) {
  process.exitCode = replayCommand.ReplayCommand.run({
    files: args, format: options['json'] === true ? 'json' : 'text', print: (line) => process.stdout.write(`${line}\n`),
  });
}
