/** Identifies one version of the configuration document. */
export interface DocumentReference {
  /** Version number, increased by the console with each change. */
  readonly version: number;
  /** SHA-256 of the document text, in lower-case hexadecimal. */
  readonly digest: string;
}
