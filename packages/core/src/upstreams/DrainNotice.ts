/** States that an incarnation of an instance leaves. Cleared only by another incarnation. */
export interface DrainNotice {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: string;
}
