import * as grayMode from './GrayMode.js';

/** Serves a share of the runs more slowly. */
export class SlowMode extends grayMode.GrayMode {
  /**
   * @param factor - Factor on the service time.
   * @param share - Share of runs that are slow.
   */
  constructor(private readonly factor: number, private readonly share: number) {
    super();
  }

  override computeEffect(_nowMs: number, fraction: number): grayMode.RunEffect {
    return fraction < this.share ? { slowBy: this.factor, answer: 'whole' } : grayMode.HEALTHY_EFFECT;
  }
}
