import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as zod from 'zod';

import * as entrySettings from './EntrySettings.js';

const { DEFAULT_LIMITS } = entrySettings;

const NAME = zod.string('a text').regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63');
const ADDRESS = zod.string('an IP address').refine((text) => net.isIP(text) !== 0, 'an IP address');

function buildIntegerSchema(minimum: number, maximum: number): zod.ZodInt {
  const expected = `a whole number from ${minimum} to ${maximum}`;
  return zod.int(expected).min(minimum, expected).max(maximum, expected);
}

function isEd25519PublicKey(text: string): boolean {
  try {
    return crypto.createPublicKey({ key: Buffer.from(text, 'base64'), format: 'der', type: 'spki' }).asymmetricKeyType === 'ed25519';
  } catch {
    return false;
  }
}

// Addresses that listen on all interfaces and that no client can connect to.
const UNSPECIFIED_ADDRESSES = ['0.0.0.0', '::'];
const PORT = buildIntegerSchema(1, 65_535);
// Port to listen on; 0 binds any free port.
const LISTEN_PORT = buildIntegerSchema(0, 65_535);

const LIMITS = zod.strictObject({
  body_bytes: buildIntegerSchema(1, 64 * 1024 * 1024).default(DEFAULT_LIMITS.bodyBytes),
  header_timeout_ms: buildIntegerSchema(100, 600_000).default(DEFAULT_LIMITS.headerTimeoutMs),
  idle_timeout_ms: buildIntegerSchema(100, 600_000).default(DEFAULT_LIMITS.idleTimeoutMs),
  buffer_bytes: buildIntegerSchema(1_024, 64 * 1024 * 1024).default(DEFAULT_LIMITS.bufferBytes),
  address_validity_ms: buildIntegerSchema(100, 600_000).default(10_000),
}, 'a table');

const SEED_PEER = zod.strictObject({
  name: NAME, host: ADDRESS, port: PORT, peer_port: PORT, place: NAME,
});

/** Schema of the settings file. The message of each check states the expected value, which error messages contain. */
export const SETTINGS_SCHEMA = zod.strictObject({
  name: NAME,
  deployment: NAME,
  place: NAME,
  host: ADDRESS,
  port: LISTEN_PORT,
  peer_port: LISTEN_PORT,
  advertised_host: ADDRESS.optional(),
  advertised_port: PORT.optional(),
  advertised_peer_port: PORT.optional(),
  platform_url: zod.string('a URL').regex(/^https?:\/\/[^/?#]+(?:\/[^?#]*)?$/, 'a URL that begins with http:// or https://'),
  document_public_key: zod.string('a text').refine(isEd25519PublicKey, 'an Ed25519 public key, base64 of its SPKI form'),
  limits: LIMITS.optional(),
  metrics: zod.strictObject({ host: zod.string('a host').min(1, 'a host'), port: PORT }, 'a table').optional(),
  seed_peers: zod.array(SEED_PEER, 'an array of tables').default([]),
}).refine((fields) => fields.advertised_host !== undefined || !UNSPECIFIED_ADDRESSES.includes(fields.host), {
  path: ['advertised_host'], error: 'an IP address, since host is an unspecified address that callers cannot connect to',
});

/** Validated fields of the settings file, under their names in the file. */
export type SettingsFields = zod.infer<typeof SETTINGS_SCHEMA>;
