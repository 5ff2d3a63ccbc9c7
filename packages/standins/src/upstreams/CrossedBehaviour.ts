import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Answers with the content of the request before. */
export class CrossedBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  private previous: standinAnswer.AnswerContent = { requestId: 'another-request', body: Buffer.from('{"instance":"another"}') };

  override answer(answer: standinAnswer.StandinAnswer): void {
    const { previous } = this;
    this.previous = answer.content;
    answer.send(200, previous);
  }
}
