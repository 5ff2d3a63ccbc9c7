import type * as core from '@tamarackferry/core';

import type * as instanceRecord from '../upstreams/InstanceRecord.js';
import type * as pooledInstance from '../upstreams/PooledInstance.js';
import type * as gatewayOutput from './GatewayOutput.js';

// Characters of an unreadable value that are logged.
const MAX_TEXT_LENGTH = 40;

/** Logs statements of instances about themselves that change what this VM believes, or that it cannot read. */
export class StatementLog {
  /** @param outbox - Receives the log lines. */
  constructor(private readonly outbox: core.tasks.Mailbox<gatewayOutput.GatewayOutput>) {}

  /**
   * Logs the limit of an instance if it has changed.
   * @param instance - Instance.
   * @param previousPerSecond - Limit before, in requests per second; undefined if there was none.
   * @param source - Name of the VM that reported the limit, or `answer` if the instance stated it to this VM.
   */
  logLimit(instance: pooledInstance.PooledInstance, previousPerSecond: number | undefined, source: string): void {
    const perSecond = instance.getLimit();
    if (perSecond === previousPerSecond) return;
    const { id, service } = instance.getRecord();
    this.outbox.post({
      type: 'log',
      event: 'limit-changed',
      fields: {
        instance: id, service, perSecond, previousPerSecond, source,
      },
    });
  }

  /**
   * Logs that an instance has stated that it is leaving.
   * @param record - Published record by which the request was sent.
   */
  logLeaving({ id, service, state }: instanceRecord.InstanceRecord): void {
    this.outbox.post({ type: 'log', event: 'instance-leaving', fields: { instance: id, service, state } });
  }

  /**
   * Logs a statement that is ignored, since it cannot be read.
   * @param instance - Instance.
   * @param text - Value as received.
   */
  logUnreadable(instance: pooledInstance.PooledInstance, text: string): void {
    const { id, service } = instance.getRecord();
    this.outbox.post({ type: 'log', event: 'statement-unreadable', fields: { instance: id, service, detail: text.slice(0, MAX_TEXT_LENGTH) } });
  }
}
