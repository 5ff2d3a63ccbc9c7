import * as core from '@tamarackferry/core';

import type * as platformFailure from './PlatformFailure.js';
import * as platformReader from './PlatformReader.js';
import type * as platformSource from './PlatformSource.js';

/** Message to the `PlatformWatcher`. */
export type PlatformMessage = Extract<core.vms.VmOutput, { type: 'platform-mode' }>;

/** Options of a `PlatformWatcher`. */
export interface PlatformWatcherOptions {
  readonly source: platformSource.PlatformSource;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly random: core.randomness.RandomSource;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
  /** Called when the reads of a value begin or cease to fail. */
  readonly onStatusChange: (text: string) => void;
}

/** Owns the connection to the platform and reads the configuration and the list of VMs. */
export class PlatformWatcher extends core.tasks.Task<PlatformMessage> {
  private readonly configurationReader: platformReader.PlatformReader<string>;

  private readonly listReader: platformReader.PlatformReader<readonly core.vms.ListEntry[]>;

  private readonly failingValues = new Set<'configuration' | 'list'>();

  /** @param options - Platform and the VM that gets what was read. */
  constructor(private readonly options: PlatformWatcherOptions) {
    super(options.scheduler);
    const { source, vm } = options;
    this.configurationReader = new platformReader.PlatformReader({
      ...options,
      read: (read) => source.readConfiguration(read),
      onContent: (text) => {
        this.recordSuccess('configuration');
        vm.post({ type: 'configuration-read', text });
      },
      onFailure: (failure) => this.recordFailure('configuration', failure),
    });
    this.listReader = new platformReader.PlatformReader({
      ...options,
      read: (read) => source.readList(read),
      onContent: (entries) => {
        this.recordSuccess('list');
        vm.post({ type: 'list-read', entries });
      },
      onFailure: (failure) => this.recordFailure('list', failure),
    });
  }

  /** Begins to read. */
  start(): void {
    this.listReader.start();
    this.configurationReader.start();
  }

  /** Ends reading and closes the connections. */
  async close(): Promise<void> {
    this.configurationReader.stop();
    this.listReader.stop();
    await this.options.source.close();
  }

  /** @internal */
  override handle(message: PlatformMessage): void {
    this.configurationReader.post({ type: 'mode', mode: message.mode });
    this.listReader.post({ type: 'mode', mode: message.mode });
  }

  private recordSuccess(value: 'configuration' | 'list'): void {
    if (this.failingValues.delete(value)) this.options.onStatusChange(`the ${value} is read again`);
  }

  private recordFailure(value: 'configuration' | 'list', failure: platformFailure.PlatformFailure): void {
    this.options.vm.post({ type: 'platform-failed', source: value });
    if (this.failingValues.has(value)) return;
    this.failingValues.add(value);
    this.options.onStatusChange(`the ${value} cannot be read, ${PlatformWatcher.describeFailure(failure)}`);
  }

  private static describeFailure(failure: platformFailure.PlatformFailure): string {
    switch (failure.type) {
      case 'bad-status':
        return `status ${failure.status}`;
      case 'too-large':
        return 'it is too large';
      default:
        return failure.detail;
    }
  }
}
