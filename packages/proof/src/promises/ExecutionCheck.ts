import type * as worlds from '../worlds/index.js';
import * as promiseCheck from './PromiseCheck.js';

/** Checks that an operation runs at most once, and that nothing runs that was told as not run. */
export class ExecutionCheck extends promiseCheck.PromiseCheck {
  private readonly runs = new Map<string, number>();

  override handle(event: worlds.WorldEvent): void {
    if (event.type === 'run-begun') this.checkRun(event);
    if (event.type === 'outcome-told') this.checkOutcome(event);
    if (event.type === 'attempt-sent' && event.timeoutMs <= 0) {
      this.recordViolation('P3', `${event.machine.endpoint.name} sent ${event.record?.token ?? 'a request'} after its deadline`);
    }
  }

  private checkRun(event: Extract<worlds.WorldEvent, { type: 'run-begun' }>): void {
    const { record, instance } = event;
    if (record.operationId !== undefined) {
      const runs = (this.runs.get(record.operationId) ?? 0) + 1;
      this.runs.set(record.operationId, runs);
      if (runs > 1) this.recordViolation('P4', `operation ${record.operationId} ran ${runs} times, last at ${instance.endpoint.name}`);
    }
    const told = record.told.find((outcome) => outcome.type === 'not-run');
    if (told !== undefined) this.recordViolation('P3', `${record.token} ran at ${instance.endpoint.name} after ${told.vm} told not run (${told.reason})`);
  }

  private checkOutcome(event: Extract<worlds.WorldEvent, { type: 'outcome-told' }>): void {
    const { record, outcome, machine } = event;
    if (outcome.type === 'not-run' && record.runs > 0) {
      this.recordViolation('P3', `${machine.endpoint.name} told not run (${outcome.reason}) for ${record.token}, which had run`);
    }
  }
}
