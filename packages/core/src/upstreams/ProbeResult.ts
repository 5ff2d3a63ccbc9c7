/** Result of a health probe of an upstream instance. */
export type ProbeResult =
  /** The instance answered that it is healthy. `load` is the number of slots in use, if it reported one. */
  | { readonly type: 'healthy'; readonly latencyMs: number; readonly load: number | undefined }
  /** The instance answered that it is draining. */
  | { readonly type: 'draining' }
  /** The instance answered that it is not healthy. */
  | { readonly type: 'unhealthy' }
  /** The instance gave no valid answer before the time-out. */
  | { readonly type: 'failed' };
