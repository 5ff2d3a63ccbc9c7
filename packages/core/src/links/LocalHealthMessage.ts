/** Message to the `LocalHealthTask`. */
export interface LocalHealthMessage {
  readonly type: 'tick';
}
