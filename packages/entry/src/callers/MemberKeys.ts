import * as crypto from 'node:crypto';
import type * as core from '@tamarackferry/core';

/** Result of the check of a member's key. */
export type MemberKeyCheck = 'accepted' | 'refused' | 'unknown-member' | 'no-document';

/** Checks the keys of members against the digests in the document in force. */
export class MemberKeys {
  private digests: ReadonlyMap<string, string> | undefined;

  /**
   * Takes the members of a newly accepted document.
   * @param members - Members with their key digests.
   */
  update(members: readonly core.contracts.MemberContract[]): void {
    this.digests = new Map(members.map((member) => [member.name, member.keyDigest]));
  }

  /**
   * Checks the key that came with a request.
   * @param member - Name of the member.
   * @param key - Key from the request, empty if there was none.
   */
  check(member: string, key: string): MemberKeyCheck {
    if (this.digests === undefined) return 'no-document';
    const expected = this.digests.get(member);
    if (expected === undefined) return 'unknown-member';
    if (expected === '') return 'accepted';
    const found = crypto.createHash('sha256').update(key).digest();
    return crypto.timingSafeEqual(found, Buffer.from(expected, 'hex')) ? 'accepted' : 'refused';
  }
}
