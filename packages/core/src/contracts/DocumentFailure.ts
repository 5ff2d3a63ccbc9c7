import type * as tomlReader from './TomlReader.js';

/** Reason why a configuration document is not accepted. */
export type DocumentFailure =
  | tomlReader.TomlFailure
  | { readonly type: 'seal-missing' }
  | { readonly type: 'seal-invalid' }
  | { readonly type: 'other-deployment'; readonly found: string; readonly expected: string }
  | { readonly type: 'older-version'; readonly found: number; readonly accepted: number };
