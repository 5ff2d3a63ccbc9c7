import * as grayMode from './GrayMode.js';

/** Gives a share of bad answers. */
export class BadAnswerMode extends grayMode.GrayMode {
  /**
   * @param answer - Kind of bad answer.
   * @param share - Share of runs that are answered badly.
   */
  constructor(private readonly answer: grayMode.RunEffect['answer'], private readonly share: number) {
    super();
  }

  override computeEffect(_nowMs: number, fraction: number): grayMode.RunEffect {
    return fraction < this.share ? { slowBy: 1, answer: this.answer } : grayMode.HEALTHY_EFFECT;
  }
}
