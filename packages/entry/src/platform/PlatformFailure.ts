/** Reason why a value of the platform could not be read. */
export type PlatformFailure =
  | { readonly type: 'unreachable'; readonly detail: string }
  | { readonly type: 'bad-status'; readonly status: number }
  | { readonly type: 'too-large' }
  | { readonly type: 'unreadable'; readonly detail: string };
