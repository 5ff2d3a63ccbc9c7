import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

/** Checks that an answer is whole and belongs to its request. */
export class ResponseCheck extends promiseCheck.PromiseCheck {
  override handle(event: worlds.WorldEvent): void {
    if (event.type !== 'outcome-told' || event.outcome.type !== 'answered') return;
    const body = Buffer.from(event.outcome.answer.body).toString();
    if (body !== `${event.record.token}.`) {
      this.recordViolation('P2', `${event.machine.endpoint.name} answered ${event.record.token} with "${body}"`);
    }
  }
}
