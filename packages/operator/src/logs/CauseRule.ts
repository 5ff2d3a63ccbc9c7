import type * as requestLog from './RequestLog.js';

/** Probable cause of what became of a request. */
export type CauseName =
  | 'silent-instance' | 'slow-instance' | 'failing-instance' | 'broken-connection' | 'unreachable-instance' | 'shedding-instances'
  | 'full-service' | 'no-instance' | 'no-route' | 'starting-vm' | 'stopping-vm' | 'memory' | 'caller-left' | 'unknown';

/** Cause with the facts that speak for it. */
export interface Cause {
  readonly name: CauseName;
  readonly text: string;
}

/** Recognises one kind of cause in what is logged of a request. */
export abstract class CauseRule {
  /**
   * Finds the cause, or undefined if it is another.
   * @param story - What is logged of the request.
   */
  abstract findCause(story: requestLog.RequestLog): Cause | undefined;
}
