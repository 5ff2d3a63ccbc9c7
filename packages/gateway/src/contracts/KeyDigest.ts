import * as crypto from 'node:crypto';

/** Digests of the keys of tenants. Tasks, messages and logs contain digests only, so that they cannot disclose a key. */
export class KeyDigest {
  /**
   * Computes the digest of a key.
   * @param key - Bytes of the key.
   */
  static digest(key: Uint8Array): string {
    return crypto.createHash('sha256').update(key).digest('base64');
  }
}
