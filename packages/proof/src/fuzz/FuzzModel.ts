/** What a fuzzed sequence knows about the world when it chooses its next action. */
export interface FuzzModel {
  /** Number of requests that were sent so far. */
  requests: number;
  readonly dead: Set<string>;
  readonly frozen: Set<string>;
}
