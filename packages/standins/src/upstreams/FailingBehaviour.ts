import type * as standinAnswer from './StandinAnswer.js';
import * as upstreamBehaviour from './UpstreamBehaviour.js';

/** Answers with a server error. */
export class FailingBehaviour extends upstreamBehaviour.UpstreamBehaviour {
  override answer(answer: standinAnswer.StandinAnswer): void {
    answer.send(500, { ...answer.content, body: Buffer.from('{"error":"failed"}') });
  }
}
