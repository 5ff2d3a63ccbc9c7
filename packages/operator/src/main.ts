#!/usr/bin/env node
import * as cac from 'cac';

import * as commands from './commands/index.js';

const VERSION = '0.1.0';

const OUTPUT: commands.CommandOutput = {
  printLine: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
};

function run(command: commands.Command): void {
  command.run().then((code) => {
    process.exitCode = code;
  });
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

function main(): void {
  const cli = cac.cac('tamarackferry');
  cli.command('console', 'Run the web console in which configuration documents are edited and sealed')
    .option('--settings <file>', 'Settings of the console (TOML)')
    .action((options: { settings?: string }) => {
      if (options.settings === undefined) OUTPUT.printError('console: --settings FILE is required');
      if (options.settings === undefined) process.exitCode = 2;
      else run(new commands.ConsoleCommand({ settingsFile: options.settings, output: OUTPUT, stopSignal: waitForSignal() }));
    });
  cli.command('check <file>', 'Check a configuration document')
    .option('--public-key <file>', 'File with the public key of the console; without it, the seal is not checked')
    .action((file: string, options: { publicKey?: string }) => (
      run(new commands.CheckCommand({ file, publicKeyFile: options.publicKey, output: OUTPUT }))));
  cli.command('keys <directory>', 'Generate the key pair for sealing documents and checking seals')
    .action((directory: string) => run(new commands.KeysCommand(directory, OUTPUT)));
  cli.command('status', 'Show the status of every entry VM')
    .option('--platform <url>', 'Base URL of the platform')
    .option('--json', 'Print JSON')
    .action((options: { platform?: string; json?: boolean }) => {
      if (options.platform === undefined) OUTPUT.printError('status: --platform URL is required');
      if (options.platform === undefined) process.exitCode = 2;
      else run(new commands.StatusCommand({ platformUrl: options.platform, format: options.json === true ? 'json' : 'text', output: OUTPUT }));
    });
  cli.command('replay [...files]', 'Replay traces through the decision logic and show which expected outcomes are met')
    .option('--json', 'Print one JSON object per file')
    .action((files: string[], options: { json?: boolean }) => (
      run(new commands.ReplayCommand({ files, format: options.json === true ? 'json' : 'text', output: OUTPUT }))));
  cli.command('explain <id> [...files]', 'Show the outcome of a request and its probable cause from VM logs; reads standard input if no files are given')
    .option('--json', 'Print one JSON object')
    .action((id: string, files: string[], options: { json?: boolean }) => run(new commands.ExplainCommand({
      id, files, input: process.stdin, format: options.json === true ? 'json' : 'text', output: OUTPUT,
    })));
  cli.command('', 'Show help').action(() => {
    cli.outputHelp();
    process.exitCode = 2;
  });
  cli.help();
  cli.version(VERSION);
  try {
    cli.parse();
  } catch (error) {
    OUTPUT.printError(error instanceof Error ? error.message : 'invalid arguments');
    process.exitCode = 2;
  }
}

main();
