/** Declares an organisation that callers belong to, and how its service is counted. */
export interface MemberContract {
  readonly name: string;
  /** How the member counts the service that it received. */
  readonly counting: 'weighted-on-time' | 'lookups-on-time';
  /** Share of admission relative to the other members. */
  readonly share: number;
  /** SHA-256 of the member's key in lower-case hexadecimal. Callers need no key if it is empty. */
  readonly keyDigest: string;
}
