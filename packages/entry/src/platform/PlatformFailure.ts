/** Reason why a value that the platform publishes could not be read. `unreadable` is a response with invalid content. */
export type PlatformFailure =
  | { readonly type: 'unreachable'; readonly detail: string }
  | { readonly type: 'bad-status'; readonly status: number }
  | { readonly type: 'too-large' }
  | { readonly type: 'unreadable'; readonly detail: string };
