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
  cli.command('console', 'Serve the forms that make configuration documents')
    .option('--settings <file>', 'Settings of the console (TOML)')
    .action((options: { settings?: string }) => {
      if (options.settings === undefined) OUTPUT.printError('console: --settings FILE is required');
      if (options.settings === undefined) process.exitCode = 2;
      else run(new commands.ConsoleCommand({ settingsFile: options.settings, output: OUTPUT, stopSignal: waitForSignal() }));
    });
  cli.command('check <file>', 'Check a configuration document')
    .option('--public-key <file>', 'Public key of the console, to check the seal')
    .action((file: string, options: { publicKey?: string }) => (
      run(new commands.CheckCommand({ file, publicKeyFile: options.publicKey, output: OUTPUT }))));
  cli.command('keys <directory>', 'Generate the key pair that seals documents')
    .action((directory: string) => run(new commands.KeysCommand(directory, OUTPUT)));
  cli.command('status', 'Show the state of every entry VM')
    .option('--platform <url>', 'Base URL of the platform')
    .option('--json', 'Print JSON')
    .action((options: { platform?: string; json?: boolean }) => {
      if (options.platform === undefined) OUTPUT.printError('status: --platform URL is required');
      if (options.platform === undefined) process.exitCode = 2;
      else run(new commands.StatusCommand({ platformUrl: options.platform, format: options.json === true ? 'json' : 'text', output: OUTPUT }));
    });
  cli.command('replay [...files]', 'Replay traces against the decisions and show which stated outcomes are met')
    .option('--json', 'Print one JSON object a file')
    .action((files: string[], options: { json?: boolean }) => (
      run(new commands.ReplayCommand({ files, format: options.json === true ? 'json' : 'text', output: OUTPUT }))));
  cli.command('explain <id> [...files]', 'Explain from the logs of VMs what became of a request; without files, standard input is read')
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
    OUTPUT.printError(error instanceof Error ? error.message : 'wrong arguments');
    process.exitCode = 2;
  }
}

main();
