#!/usr/bin/env node
import * as fs from 'node:fs';
import * as cac from 'cac';

import * as vms from './vms/index.js';

const EXIT_RUNTIME_FAILURE = 1;
// Exit code for invalid arguments or settings.
const EXIT_INVALID_INPUT = 2;

function readVersion(): string {
  return (JSON.parse(fs.readFileSync(`${import.meta.dirname}/../package.json`, 'utf8')) as { version: string }).version;
}

async function runEntry(settingsFile: string, log: vms.ProcessLog): Promise<number> {
  const settings = await vms.SettingsReader.readFile(settingsFile);
  if (settings.isErr()) {
    log.write('error', 'vm', vms.SettingsReader.describeFailure(settings.error));
    return EXIT_INVALID_INPUT;
  }
  const started = await vms.EntryProcess.start(settings.value);
  if (started.isErr()) {
    log.write('error', 'vm', `port ${started.error.port} cannot be bound: ${started.error.detail}`);
    return EXIT_RUNTIME_FAILURE;
  }
  const entryProcess = started.value;
  let state: 'running' | 'stopping' = 'running';
  const handleSignal = (): void => {
    // The second signal ends the process at once.
    if (state === 'stopping') process.exit(EXIT_RUNTIME_FAILURE);
    state = 'stopping';
    entryProcess.stop();
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  process.stdout.write(`${JSON.stringify({ type: 'listening', port: entryProcess.port, peerPort: entryProcess.peerPort })}\n`);
  log.write('info', 'vm', `listening for callers on port ${entryProcess.port} and for peers on port ${entryProcess.peerPort}`);
  await entryProcess.waitForEnd();
  log.write('info', 'vm', 'graceful shutdown completed');
  return 0;
}

/** Parses the command-line arguments. Returns the settings file, or the exit code if the process is not to be started. */
function parseArguments(log: vms.ProcessLog): { readonly settingsFile: string } | { readonly exitCode: number } {
  const cli = cac.cac('tamarackferry-entry');
  cli.option('--settings <file>', 'TOML file with the settings of the process');
  cli.help();
  cli.version(readVersion());
  try {
    const { options, args } = cli.parse(process.argv, { run: false });
    if (options['help'] === true || options['version'] === true) return { exitCode: 0 };
    cli.globalCommand.checkUnknownOptions();
    cli.globalCommand.checkOptionValue();
    if (args.length === 0 && typeof options['settings'] === 'string') return { settingsFile: options['settings'] };
    log.write('error', 'vm', 'expected --settings FILE and no other arguments');
  } catch (error) {
    log.write('error', 'vm', error instanceof Error ? error.message : 'the arguments cannot be parsed');
  }
  return { exitCode: EXIT_INVALID_INPUT };
}

async function main(): Promise<number> {
  const log = new vms.ProcessLog();
  const parsed = parseArguments(log);
  return 'exitCode' in parsed ? parsed.exitCode : runEntry(parsed.settingsFile, log);
}

process.exit(await main());
