import type * as core from '@tamarackferry/core';
import type * as neverthrow from 'neverthrow';

import type * as platformFailure from './PlatformFailure.js';

/** Result of reading a value that the platform publishes, with the token that identifies the state of the value. */
export interface PlatformValue<Content> {
  /** Undefined if the value is unchanged since the state that the read specified. */
  readonly content: Content | undefined;
  /** Token to specify in the next read; undefined if the platform returned none. */
  readonly stateToken: string | undefined;
}

/** Options of one read of a value. */
export interface PlatformReadOptions {
  /** Token of the last state read: the platform responds when the state changes. If undefined, it responds at once. */
  readonly after: string | undefined;
  /** Time for which the platform may wait for a change before it responds, in milliseconds. */
  readonly waitMs: number;
  /** Aborts the read. */
  readonly signal: AbortSignal;
}

/** Result of a read. */
export type PlatformRead<Content> = Promise<neverthrow.Result<PlatformValue<Content>, platformFailure.PlatformFailure>>;

/** Reads the configuration document and the list of VMs that the platform publishes. */
export abstract class PlatformSource {
  /**
   * Reads the text of the configuration document.
   * @param options - State to wait for a change from, time limit and abort signal.
   */
  abstract readConfiguration(options: PlatformReadOptions): PlatformRead<string>;

  /**
   * Reads the list of VMs: the live and leaving entry VMs and upstream instances.
   * @param options - State to wait for a change from, time limit and abort signal.
   */
  abstract readList(options: PlatformReadOptions): PlatformRead<readonly core.vms.ListEntry[]>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
