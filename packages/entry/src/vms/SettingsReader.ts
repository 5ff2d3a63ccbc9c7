import * as fs from 'node:fs/promises';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as entrySettings from './EntrySettings.js';
import type * as settingsFailure from './SettingsFailure.js';
import * as settingsSchema from './SettingsSchema.js';

const TOML_READER = new core.contracts.TomlReader(settingsSchema.SETTINGS_SCHEMA);

type SettingsResult<Value> = neverthrow.Result<Value, settingsFailure.SettingsFailure>;

/** Reads and validates the settings of an entry process. */
export class SettingsReader {
  /**
   * Reads and validates a settings file.
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
   * Parses and validates the text of a settings file.
   * @param text - Text in TOML.
   */
  static parse(text: string): SettingsResult<entrySettings.EntrySettings> {
    return TOML_READER.read(text).map(SettingsReader.buildSettings);
  }

  /**
   * Describes a failure in one sentence.
   * @param failure - Failure to describe.
   */
  static describeFailure(failure: settingsFailure.SettingsFailure): string {
    return failure.type === 'unreadable'
      ? `settings file ${failure.file} cannot be read: ${failure.detail}`
      : `settings ${core.contracts.TomlReader.describeFailure(failure)}`;
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
