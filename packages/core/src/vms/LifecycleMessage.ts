import type * as callers from '../callers/index.js';
import type * as contracts from '../contracts/index.js';

/** Message to the `LifecycleTask`. */
export type LifecycleMessage =
  | contracts.DocumentAccepted
  | { readonly type: 'stop' }
  | { readonly type: 'validity-expired' }
  | { readonly type: 'requests-ended' }
  | callers.EvidenceFlushed;
