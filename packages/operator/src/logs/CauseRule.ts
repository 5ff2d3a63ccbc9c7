import type * as requestHistory from './RequestHistory.js';

/** Name of the probable cause of the outcome of a request. Printed by the `explain` command. */
export type CauseName =
  | 'silent-instance' | 'slow-instance' | 'failing-instance' | 'broken-connection' | 'unreachable-instance' | 'shedding-instances'
  | 'limited-instances' | 'full-service' | 'no-instance' | 'no-route' | 'starting-vm' | 'stopping-vm' | 'memory' | 'caller-left' | 'unknown';

/** Probable cause of the outcome of a request. */
export interface Cause {
  readonly name: CauseName;
  /** Explanation for operators, with the log fields that support the cause. */
  readonly text: string;
}

/** Recognizes one kind of cause in the log lines of a request. */
export abstract class CauseRule {
  /**
   * Returns the cause, or undefined if the log lines do not match this rule.
   * @param log - Log lines of the request.
   */
  abstract findCause(log: requestHistory.RequestHistory): Cause | undefined;
}
