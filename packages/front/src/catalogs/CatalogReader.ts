import * as core from '@tamarackferry/core';
import type * as gateway from '@tamarackferry/gateway';

import type * as catalogSource from './CatalogSource.js';

/** Message to the `CatalogReader`. */
export type CatalogReaderMessage = Extract<gateway.contracts.CatalogOutput, { type: 'read-snapshot' | 'watch-changes' | 'stop-reading' }>;

/** Options of a `CatalogReader`. */
export interface CatalogReaderOptions {
  readonly scheduler: core.tasks.TaskScheduler;
  readonly source: catalogSource.CatalogSource;
  readonly catalogTask: core.tasks.Mailbox<gateway.contracts.CatalogMessage>;
}

/** Task that reads the catalog from its source and posts the results to the catalog task. */
export class CatalogReader extends core.tasks.Task<CatalogReaderMessage> {
  private state: 'running' | 'stopped' = 'running';

  /** @param options - Options of the reader. */
  constructor(private readonly options: CatalogReaderOptions) {
    super(options.scheduler);
  }

  /** @internal */
  override handle(message: CatalogReaderMessage): void {
    switch (message.type) {
      case 'read-snapshot':
        void this.readSnapshot();
        break;
      case 'watch-changes':
        void this.watchChanges(message.afterRevision, message.waitMs);
        break;
      case 'stop-reading':
        this.state = 'stopped';
        void this.options.source.close();
        break;
      // no default
    }
  }

  private async readSnapshot(): Promise<void> {
    const result = await this.options.source.readSnapshot();
    this.report(result.match(
      (snapshot): gateway.contracts.CatalogMessage => ({ type: 'snapshot-read', snapshot }),
      (failure) => ({ type: 'read-failed', reason: failure.type, detail: failure.detail }),
    ));
  }

  private async watchChanges(afterRevision: number, waitMs: number): Promise<void> {
    const result = await this.options.source.watchChanges(afterRevision, waitMs);
    this.report(result.match(
      (watchResult): gateway.contracts.CatalogMessage => (watchResult.type === 'changes'
        ? { ...watchResult, type: 'changes-read' }
        : { type: 'history-lost' }),
      (failure) => ({ type: 'read-failed', reason: failure.type, detail: failure.detail }),
    ));
  }

  private report(message: gateway.contracts.CatalogMessage): void {
    if (this.state === 'running') this.options.catalogTask.post(message);
  }
}
