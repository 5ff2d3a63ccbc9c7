/** How a probe of an upstream instance ended. */
export type ProbeResult =
  | { readonly type: 'healthy'; readonly latencyMs: number; readonly load: number | undefined }
  | { readonly type: 'draining' }
  | { readonly type: 'unhealthy' }
  | { readonly type: 'failed' };
