#!/usr/bin/env node
import * as cac from 'cac';
import * as consola from 'consola/basic';

import * as platform from './platform/index.js';
import * as upstreams from './upstreams/index.js';

const EXIT_WRONG_ARGUMENTS = 2;

interface PlatformArguments {
  readonly host: string;
  readonly port: number;
}

interface UpstreamArguments extends PlatformArguments {
  readonly name: string;
  readonly slots: number;
  readonly serviceTimeMs: number;
  readonly coldStartMs: number;
  readonly mode: string;
}

function reportListening(port: number): void {
  process.stdout.write(`${JSON.stringify({ type: 'listening', port })}\n`);
}

async function runPlatform(options: PlatformArguments): Promise<void> {
  const standin = new platform.PlatformStandin({ host: options.host, port: options.port });
  reportListening(Number(new URL(await standin.listen()).port));
}

async function runUpstream(options: UpstreamArguments): Promise<void> {
  const mode = upstreams.UPSTREAM_MODES.find((known) => known === options.mode);
  if (mode === undefined) {
    consola.createConsola().error(`upstreams: mode ${options.mode} is not one of ${upstreams.UPSTREAM_MODES.join(', ')}`);
    process.exit(EXIT_WRONG_ARGUMENTS);
  }
  reportListening(await new upstreams.UpstreamStandin(options.name, { ...options, mode }).listen());
}

const cli = cac.cac('tamarackferry-standins');
cli.command('platform', 'Stand-in for the platform')
  .option('--host <address>', 'Address to listen on', { default: '127.0.0.1' })
  .option('--port <port>', 'Port to listen on; 0 binds a free one', { default: 0 })
  .action(runPlatform);
cli.command('upstream', 'Stand-in for one upstream instance')
  .option('--host <address>', 'Address to listen on', { default: '127.0.0.1' })
  .option('--port <port>', 'Port to listen on; 0 binds a free one', { default: 0 })
  .option('--name <name>', 'Name of the instance', { default: 'upstream' })
  .option('--slots <count>', 'Requests that are served at the same time', { default: 4 })
  .option('--service-time-ms <ms>', 'Time that a request takes', { default: 0 })
  .option('--cold-start-ms <ms>', 'Time after the start for which requests take longer', { default: 0 })
  .option('--mode <mode>', `One of ${upstreams.UPSTREAM_MODES.join(', ')}`, { default: 'prompt' })
  .action(runUpstream);
cli.help();
try {
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand === undefined && cli.options['help'] !== true) {
    consola.createConsola().error('vm: give the command platform or upstream');
    process.exit(EXIT_WRONG_ARGUMENTS);
  }
  await cli.runMatchedCommand();
} catch (error) {
  consola.createConsola().error(`vm: ${error instanceof Error ? error.message : 'the arguments cannot be read'}`);
  process.exit(EXIT_WRONG_ARGUMENTS);
}
