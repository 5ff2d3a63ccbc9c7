/** Result of a health probe of an upstream instance. */
export type ProbeResult =
  /** The instance answered that it is healthy. `load` is the number of slots in use, if it reported one. */
  | { readonly type: 'healthy'; readonly latencyMs: number; readonly load: number | undefined }
  /** The instance answered that it is draining. */
  | { readonly type: 'draining' }
  /** The instance answered that it is not healthy. */
  | { readonly type: 'unhealthy' }
  /** No valid answer: time-out, connection error or malformed answer. */
  | { readonly type: 'failed' };
