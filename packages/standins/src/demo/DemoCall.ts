import type * as demoPreset from './DemoPreset.js';

/** One request of the load and how it ended. */
export interface DemoCall {
  readonly stream: demoPreset.DemoStream;
  /** Path below the service; no other request of the run has it. */
  readonly path: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown';
  /** Reason of a request that was not answered. */
  readonly reason: string;
  /** Whether the answer belongs to the request. */
  readonly answer: 'own' | 'wrong' | 'none';
  readonly latencyMs: number;
}
