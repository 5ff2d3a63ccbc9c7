import * as core from '@tamarackferry/core';
import type * as entry from '@tamarackferry/entry';

/** Keys that seal the documents of the tests. */
export const KEYS = core.contracts.DocumentKeys.fromText('entry-test');

/** Public key of `KEYS` in the form of the settings. */
export const PUBLIC_KEY = KEYS.publicKey.export({ format: 'der', type: 'spki' }).toString('base64');

/** Builds a sealed configuration document with one service, `orders`, and one member, `museum`. */
export function buildDocument(version: number, answerDigest: 'sent' | 'absent' = 'sent'): string {
  return core.contracts.DocumentSeal.sealText(core.contracts.TomlDocumentCodec.encode({
    format: 1,
    deployment: 'test',
    version,
    base_digest: '',
    places: [{ name: 'a', region: 'r' }],
    services: [{
      name: 'orders',
      floor_instances: 1,
      slots_per_instance: 4,
      connections_per_instance: 100,
      detection: 'cautious',
      request_id_echo: 'echoed',
      not_run_answers: 'declared',
      answer_digest: answerDigest,
      kinds: [{
        name: 'status', method: 'GET', path_prefix: '/status', repeatability: 'idempotent', priority: 'interactive', weight: 1, deadline_ms: 5_000, on_time_ms: 500,
      }, {
        name: 'order', method: 'POST', path_prefix: '/order', repeatability: 'non-idempotent', priority: 'interactive', weight: 1, deadline_ms: 5_000, on_time_ms: 500,
      }],
    }],
    members: [{
      name: 'museum', counting: 'weighted-on-time', share: 1, key_digest: '',
    }],
  }), KEYS.privateKey);
}

/** Builds the entry of the list of VMs for an instance of `orders`. */
export function buildInstance(port: number, name = 'orders-1'): core.vms.UpstreamListEntry {
  return {
    role: 'upstream', name, service: 'orders', incarnation: 'i1', host: '127.0.0.1', port, place: 'a', state: 'live',
  };
}

/** Builds settings of an entry process on free loopback ports. */
export function buildSettings(name: string, platformUrl: string): entry.vms.EntrySettings {
  return {
    name, deployment: 'test', place: 'a', host: '127.0.0.1', port: 0, peerPort: 0, platformUrl, documentPublicKey: PUBLIC_KEY, addressValidityMs: 300, seedPeers: [],
  };
}

/** Builds the text of a settings file for an entry process on free loopback ports. */
export function formatSettings(name: string, platformUrl: string): string {
  return [
    `name = "${name}"`,
    'deployment = "test"',
    'place = "a"',
    'host = "127.0.0.1"',
    'port = 0',
    'peer_port = 0',
    `platform_url = "${platformUrl}"`,
    `document_public_key = "${PUBLIC_KEY}"`,
    '[limits]',
    'address_validity_ms = 300',
    '',
  ].join('\n');
}
