import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

/**
 * Result of checking a member's key. `refused` means that the key does not match the member, `no-document` that no configuration
 * document has been accepted yet.
 */
export type MemberKeyCheck = 'accepted' | 'refused' | 'unknown-member' | 'no-document';

/** Verifies the keys with which members authenticate their requests against the SHA-256 digests in the configuration document in force. */
export class MemberKeys {
  private digests: ReadonlyMap<string, string> | undefined;

  /**
   * Replaces the key digests after a configuration document was accepted.
   * @param members - Members with their key digests; an empty digest means that the member needs no key.
   */
  update(members: readonly core.contracts.MemberContract[]): void {
    this.digests = new Map(members.map((member) => [member.name, member.keyDigest]));
  }

  /**
   * Checks the key of a request.
   * @param member - Name of the member.
   * @param key - Key in the request, empty if it has none.
   */
  check(member: string, key: string): MemberKeyCheck {
    if (this.digests === undefined) return 'no-document';
    const expectedDigest = this.digests.get(member);
    if (expectedDigest === undefined) return 'unknown-member';
    if (expectedDigest === '') return 'accepted';
    const keyDigest = crypto.createHash('sha256').update(key).digest();
    return crypto.timingSafeEqual(keyDigest, Buffer.from(expectedDigest, 'hex')) ? 'accepted' : 'refused';
  }
}
