import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import type * as platformFailure from './PlatformFailure.js';

/** Value that the platform publishes, with the token that names its state. */
export interface PlatformValue<Content> {
  /** Undefined if the value has not changed since the state that was named in the read. */
  readonly content: Content | undefined;
  /** Token to name in the next read; undefined if the platform gives none. */
  readonly stateToken: string | undefined;
}

/** How a value is read. */
export interface PlatformReadOptions {
  /** State after which a change is waited for; undefined reads at once. */
  readonly after: string | undefined;
  /** Time that the platform may hold the read, in milliseconds. */
  readonly waitMs: number;
  /** Aborts the read. */
  readonly signal: AbortSignal;
}

/** Result of a read. */
export type PlatformRead<Content> = Promise<neverthrow.Result<PlatformValue<Content>, platformFailure.PlatformFailure>>;

/** Reads what the platform publishes. */
export abstract class PlatformSource {
  /**
   * Reads the text of the configuration document.
   * @param options - Whether to wait for a change.
   */
  abstract readConfiguration(options: PlatformReadOptions): PlatformRead<string>;

  /**
   * Reads the list of live and leaving VMs.
   * @param options - Whether to wait for a change.
   */
  abstract readList(options: PlatformReadOptions): PlatformRead<readonly core.vms.ListEntry[]>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
