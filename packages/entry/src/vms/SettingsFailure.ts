/** Reason why settings cannot be used. */
export type SettingsFailure =
  | { readonly type: 'unreadable'; readonly file: string; readonly detail: string }
  | { readonly type: 'syntax'; readonly line: number; readonly detail: string }
  | { readonly type: 'field'; readonly field: string; readonly line: number; readonly found: string; readonly expected: string };
