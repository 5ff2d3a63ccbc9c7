/**
 * How the platform answers.
 * - `serving`: present values.
 * - `stale`: the values of the moment when the mode was set.
 * - `slow`: present values, two seconds late.
 * - `down`: connections are closed without an answer.
 */
export type PlatformMode = 'serving' | 'stale' | 'slow' | 'down';

/** All modes. */
export const PLATFORM_MODES: readonly PlatformMode[] = ['serving', 'stale', 'slow', 'down'];
