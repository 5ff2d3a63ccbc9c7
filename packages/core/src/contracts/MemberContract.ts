/** Declares an organisation that callers belong to, and how its service is counted. */
export interface MemberContract {
  readonly name: string;
  /** How the service that the member received is counted. */
  readonly counting: 'weighted-on-time' | 'lookups-on-time';
  /** Share of admission relative to the other members. */
  readonly share: number;
  /** SHA-256 of the member's key, in lower-case hexadecimal. If empty, callers need no key. */
  readonly keyDigest: string;
}
