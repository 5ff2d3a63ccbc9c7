import * as grayMode from './GrayMode.js';

/** Alternates between another mode and good service, beginning with the other mode. */
export class FlappingMode extends grayMode.GrayMode {
  /**
   * @param mode - Mode of the bad half of each period.
   * @param fromMs - Time at which the first period begins, in milliseconds.
   * @param periodMs - Length of a period in milliseconds.
   */
  constructor(private readonly mode: grayMode.GrayMode, private readonly fromMs: number, private readonly periodMs: number) {
    super();
  }

  override computeEffect(nowMs: number, fraction: number): grayMode.RunEffect {
    const bad = ((nowMs - this.fromMs) % this.periodMs) * 2 < this.periodMs;
    return bad ? this.mode.computeEffect(nowMs, fraction) : grayMode.HEALTHY_EFFECT;
  }
}
