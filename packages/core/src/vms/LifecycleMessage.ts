import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';

/** Message to the `LifecycleTask`. */
export type LifecycleMessage =
  | contracts.DocumentAccepted
  /** Begins a graceful shutdown. */
  | { readonly type: 'stop' }
  /** The address answers that callers have cached are no longer valid. */
  | { readonly type: 'validity-expired' }
  /** All requests of this VM have ended. */
  | { readonly type: 'requests-ended' }
  | callers.EvidenceFlushed;
