import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import type * as platformFailure from './PlatformFailure.js';

/** Value that the platform publishes, with the token that identifies its state (like an ETag). */
export interface PlatformValue<Content> {
  /** Undefined if the state of the value is still the one of the token that the read specified. */
  readonly content: Content | undefined;
  /** Token to specify in the next read; undefined if the platform returned none. */
  readonly stateToken: string | undefined;
}

/** Options of one read of a value. */
export interface PlatformReadOptions {
  /** State token of the previous read: the platform responds when the state differs from it. If undefined, it responds at once. */
  readonly previousStateToken: string | undefined;
  /** Time for which the platform may wait for a change before it responds, in milliseconds. */
  readonly waitMs: number;
  /** Aborts the read. */
  readonly signal: AbortSignal;
}

/** Promise of the value, or of the reason why it could not be read. */
export type PlatformRead<Content> = Promise<neverthrow.Result<PlatformValue<Content>, platformFailure.PlatformFailure>>;

/** Reads the configuration document and the list of VMs that the platform publishes. */
export abstract class PlatformSource {
  /**
   * Reads the text of the configuration document.
   * @param options - Previous state token, time limit and abort signal.
   */
  abstract readConfiguration(options: PlatformReadOptions): PlatformRead<string>;

  /**
   * Reads the list of VMs: the live and leaving entry VMs and upstream instances, all of which the platform lists as VMs.
   * @param options - Previous state token, time limit and abort signal.
   */
  abstract readList(options: PlatformReadOptions): PlatformRead<readonly core.vms.ListEntry[]>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
