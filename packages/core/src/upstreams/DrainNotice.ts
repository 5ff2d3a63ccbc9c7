/** Notice that an incarnation of an instance is draining. It is never revoked; a restarted instance has another incarnation. */
export interface DrainNotice {
  readonly service: string;
  readonly instance: string;
  readonly incarnation: string;
}
