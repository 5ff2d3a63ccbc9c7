import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as command from './Command.js';

/** Generates the Ed25519 key pair with which the console seals (signs) configuration documents and entry VMs verify the seals. */
export class KeysCommand extends command.Command {
  /**
   * @param directory - Existing directory in which the two key files are created.
   * @param output - Receives what the command prints.
   */
  constructor(private readonly directory: string, output: command.CommandOutput) {
    super(output);
  }

  override async run(): Promise<command.ExitCode> {
    const keys = core.contracts.DocumentKeys.generate();
    const privateFile = path.join(this.directory, 'console-private.pem');
    const publicFile = path.join(this.directory, 'console-public.txt');
    const written = await neverthrow.ResultAsync.fromPromise(
      // The flag wx prevents overwriting an existing key: entry VMs accept only documents sealed with the key in their settings.
      fs.writeFile(privateFile, keys.privateKey.export({ format: 'pem', type: 'pkcs8' }), { mode: 0o600, flag: 'wx' })
        .then(() => fs.writeFile(publicFile, `${keys.publicKey.export({ format: 'der', type: 'spki' }).toString('base64')}\n`, { flag: 'wx' })),
      (error) => (error instanceof Error ? error.message : 'the key files could not be written'),
    );
    return written.match(
      (): command.ExitCode => {
        this.output.printLine(`wrote ${privateFile} for the console and ${publicFile} for the settings of the entry processes`);
        return 0;
      },
      (detail): command.ExitCode => {
        this.output.printError(detail);
        return 1;
      },
    );
  }
}
