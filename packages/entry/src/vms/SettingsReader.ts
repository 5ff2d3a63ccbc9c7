import * as fs from 'node:fs/promises';
import * as neverthrow from 'neverthrow';
import * as smolToml from 'smol-toml';

import * as entrySettings from './EntrySettings.js';
import type * as settingsFailure from './SettingsFailure.js';
import * as settingsSchema from './SettingsSchema.js';

type SettingsResult<Value> = neverthrow.Result<Value, settingsFailure.SettingsFailure>;

/** Reads and checks the settings of an entry process. */
export class SettingsReader {
  /**
   * Reads a settings file.
   * @param file - Path of the file.
   */
  static async readFile(file: string): Promise<SettingsResult<entrySettings.EntrySettings>> {
    try {
      return SettingsReader.parse(await fs.readFile(file, 'utf8'));
    } catch (error) {
      return neverthrow.err({ type: 'unreadable', file, detail: (error as NodeJS.ErrnoException).code ?? 'unreadable' });
    }
  }

  /**
   * Checks the text of a settings file.
   * @param text - TOML text.
   */
  static parse(text: string): SettingsResult<entrySettings.EntrySettings> {
    return SettingsReader.parseToml(text).andThen((value) => SettingsReader.checkFields(value, text)).map(SettingsReader.buildSettings);
  }

  /**
   * Describes a failure in one sentence.
   * @param failure - Failure to describe.
   */
  static describeFailure(failure: settingsFailure.SettingsFailure): string {
    switch (failure.type) {
      case 'unreadable':
        return `settings file ${failure.file} cannot be read, ${failure.detail}`;
      case 'syntax':
        return `settings line ${failure.line} is not valid TOML, ${failure.detail}`;
      default:
        return `settings line ${failure.line}, field ${failure.field}: found ${failure.found}, expected ${failure.expected}`;
    }
  }

  private static parseToml(text: string): SettingsResult<unknown> {
    return neverthrow.fromThrowable(smolToml.parse, (error): settingsFailure.SettingsFailure => ({
      type: 'syntax',
      line: error instanceof smolToml.TomlError ? error.line : 0,
      detail: error instanceof smolToml.TomlError ? error.message.split('\n')[0] ?? '' : 'not readable as TOML',
    }))(text);
  }

  private static checkFields(value: unknown, text: string): SettingsResult<settingsSchema.SettingsFields> {
    const parsed = settingsSchema.SETTINGS_SCHEMA.safeParse(value);
    if (parsed.success) return neverthrow.ok(parsed.data);
    const [issue] = parsed.error.issues;
    const unknownKey = issue?.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
    const path = unknownKey === undefined ? issue?.path ?? [] : [...issue?.path ?? [], unknownKey];
    const found = path.reduce<unknown>((part, key) => (part as Record<PropertyKey, unknown> | undefined)?.[key], value);
    return neverthrow.err({
      type: 'field',
      field: path.join('.'),
      line: SettingsReader.findLine(text, path),
      found: found === undefined ? 'nothing' : JSON.stringify(found),
      expected: unknownKey === undefined ? issue?.message ?? 'a valid value' : 'no field of this name',
    });
  }

  // A missing field is reported with the line of its table, or with line 1 at the top level.
  private static findLine(text: string, path: readonly PropertyKey[]): number {
    const lines = text.split('\n').map((line) => line.trim());
    const tables = path.slice(0, -1).filter((key) => typeof key === 'string').join('.');
    const position = path.find((key) => typeof key === 'number') ?? 0;
    const headers = lines.flatMap((line, index) => (line === `[${tables}]` || line === `[[${tables}]]` ? [index] : []));
    const start = tables === '' ? 0 : headers[position] ?? 0;
    const last = String(path.at(-1));
    const offset = lines.slice(start).findIndex((line) => line.split('=')[0]?.trim() === last || line === `[${last}]` || line === `[[${last}]]`);
    return offset < 0 ? start + 1 : start + offset + 1;
  }

  private static buildSettings(fields: settingsSchema.SettingsFields): entrySettings.EntrySettings {
    const limits = fields.limits ?? settingsSchema.SETTINGS_SCHEMA.shape.limits.unwrap().parse({});
    return {
      name: fields.name,
      deployment: fields.deployment,
      place: fields.place,
      host: fields.host,
      port: fields.port,
      peerPort: fields.peer_port,
      platformUrl: fields.platform_url.replace(/\/$/, ''),
      documentPublicKey: fields.document_public_key,
      addressValidityMs: limits.address_validity_ms,
      seedPeers: fields.seed_peers.map((peer) => ({
        role: 'entry', name: peer.name, host: peer.host, port: peer.port, peerPort: peer.peer_port, place: peer.place, state: 'live',
      })),
      limits: {
        bodyBytes: limits.body_bytes,
        headerTimeoutMs: limits.header_timeout_ms,
        idleTimeoutMs: limits.idle_timeout_ms,
        bufferBytes: limits.buffer_bytes,
      },
      ...fields.advertised_host === undefined ? {} : { advertisedHost: fields.advertised_host },
      ...fields.advertised_port === undefined ? {} : { advertisedPort: fields.advertised_port },
      ...fields.advertised_peer_port === undefined ? {} : { advertisedPeerPort: fields.advertised_peer_port },
      ...fields.metrics === undefined ? {} : { metrics: fields.metrics },
    };
  }
}
