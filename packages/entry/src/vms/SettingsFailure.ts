import type * as core from '@tamarackferry/core';

/** Reason why settings cannot be used: the file cannot be read, or its TOML text is invalid. */
export type SettingsFailure =
  | { readonly type: 'unreadable'; readonly file: string; readonly detail: string }
  | core.contracts.TomlFailure;
