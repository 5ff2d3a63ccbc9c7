import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

const SETTINGS_SCHEMA = zod.strictObject({
  deployment: zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens'),
  host: zod.ipv4().default('127.0.0.1'),
  port: zod.int().min(0).max(65_535),
  platform_url: zod.url({ protocol: /^https?$/ }),
  private_key_file: zod.string().min(1),
});

/** Settings of the web console for operators. */
export interface ConsoleSettings {
  readonly deployment: string;
  readonly host: string;
  readonly port: number;
  readonly platformUrl: string;
  readonly keys: core.contracts.DocumentKeys;
}

/** Reads the settings of the console from TOML. */
export class ConsoleSettingsReader {
  /**
   * Reads and validates a settings file and reads the private key file that it refers to.
   * @param file - Path of the settings file.
   */
  static async read(file: string): Promise<neverthrow.Result<ConsoleSettings, string>> {
    const text = await neverthrow.ResultAsync.fromPromise(fs.readFile(file, 'utf8'), () => `${file}: cannot be read`);
    const fields = text.andThen((value) => new core.contracts.TomlReader(SETTINGS_SCHEMA).read(value)
      .mapErr((failure) => `${file}: ${core.contracts.TomlReader.describeFailure(failure)}`));
    if (fields.isErr()) return neverthrow.err(fields.error);
    const {
      deployment, host, port, platform_url: platformUrl, private_key_file: keyFile,
    } = fields.value;
    const key = await neverthrow.ResultAsync.fromPromise(
      fs.readFile(keyFile).then((pem) => crypto.createPrivateKey(pem)),
      () => `${file}: field private_key_file: found "${keyFile}", expected a readable PEM file with an Ed25519 private key`,
    );
    return key.map((privateKey) => ({
      deployment, host, port, platformUrl, keys: core.contracts.DocumentKeys.fromPrivateKey(privateKey),
    }));
  }
}
