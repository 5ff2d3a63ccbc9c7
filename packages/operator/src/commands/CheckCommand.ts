import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as command from './Command.js';

/** Options of a `CheckCommand`. */
export interface CheckCommandOptions {
  readonly file: string;
  /** File with the public key of the console (base64); without it, the seal is not checked. */
  readonly publicKeyFile: string | undefined;
  readonly output: command.CommandOutput;
}

/** Checks the seal (Ed25519 signature), the syntax and the fields of a configuration document. */
export class CheckCommand extends command.Command {
  /** @param options - Document file, public key file and output. */
  constructor(private readonly options: CheckCommandOptions) {
    super(options.output);
  }

  override async run(): Promise<command.ExitCode> {
    const { file, publicKeyFile } = this.options;
    const text = await CheckCommand.readFile(file);
    const key = publicKeyFile === undefined
      ? neverthrow.ok(undefined)
      : (await CheckCommand.readFile(publicKeyFile)).andThen(CheckCommand.parseKey);
    const failed = [text, key].find((result) => result.isErr());
    if (failed?.isErr() === true) {
      this.output.printError(failed.error);
      return 2;
    }
    return this.checkDocument(text.unwrapOr(''), key.unwrapOr(undefined));
  }

  private checkDocument(text: string, publicKey: crypto.KeyObject | undefined): command.ExitCode {
    // Without a key the codec expects an unsealed document, so the seal table is removed before the fields are checked.
    const body = publicKey === undefined ? text.split('\n[seal]\n')[0] ?? '' : text;
    return new core.contracts.TomlDocumentCodec(publicKey).decode(body).match(
      (document): command.ExitCode => {
        const seal = publicKey === undefined ? 'seal not checked' : 'seal valid';
        this.output.printLine(`${this.options.file}: valid, deployment ${document.deployment}, version ${document.reference.version}, ${seal}`);
        return 0;
      },
      (failure): command.ExitCode => {
        this.output.printError(`${this.options.file}: ${CheckCommand.describeFailure(failure)}`);
        return 1;
      },
    );
  }

  private static describeFailure(failure: core.contracts.DocumentFailure): string {
    switch (failure.type) {
      case 'syntax':
      case 'field':
        return core.contracts.TomlReader.describeFailure(failure);
      case 'seal-missing':
        return '[seal] table missing; expected a document sealed by the console';
      case 'seal-invalid':
        return 'the seal does not match; the document was changed after sealing or was sealed with another key';
      default:
        return failure.type;
    }
  }

  private static parseKey(text: string): neverthrow.Result<crypto.KeyObject, string> {
    return neverthrow.fromThrowable(
      () => crypto.createPublicKey({ key: Buffer.from(text.trim(), 'base64'), format: 'der', type: 'spki' }),
      () => 'public key file: expected base64 of an Ed25519 public key (SPKI)',
    )();
  }

  private static async readFile(file: string): Promise<neverthrow.Result<string, string>> {
    return neverthrow.ResultAsync.fromPromise(fs.readFile(file, 'utf8'), () => `${file}: cannot be read`);
  }
}
