import type * as worlds from '../worlds/index.js';

/** Promise of the design page. */
export type PromiseName = 'P1' | 'P2' | 'P3' | 'P4' | 'P5' | 'P6' | 'P7';

/** Broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly atMs: number;
  readonly detail: string;
}

/** Check of one or two promises against what happens in a world. Knows nothing of how a VM decides. */
export abstract class PromiseCheck {
  private readonly found: Violation[] = [];

  /** @param view - Truth about the world. */
  constructor(protected readonly view: worlds.WorldView) {}

  /**
   * Handles what happened.
   * @param event - Event of the world.
   */
  abstract handle(event: worlds.WorldEvent): void;

  /** Lists the violations that were found. */
  listViolations(): readonly Violation[] {
    return this.found;
  }

  /**
   * Records a violation.
   * @param promise - Broken promise.
   * @param detail - What was seen.
   */
  protected recordViolation(promise: PromiseName, detail: string): void {
    this.found.push({ promise, atMs: this.view.getNowMs(), detail });
  }
}
