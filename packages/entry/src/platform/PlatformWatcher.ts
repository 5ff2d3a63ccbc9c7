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
  /** Called with a log text when the reads of a value start to fail, and when they succeed again. */
  readonly onStatusChange: (text: string) => void;
}

/** Owns the connection to the platform. Reads the configuration document and the list of VMs and posts them to the VM. */
export class PlatformWatcher extends core.tasks.Task<PlatformMessage> {
  private readonly configurationReader: platformReader.PlatformReader<string>;

  private readonly listReader: platformReader.PlatformReader<readonly core.vms.ListEntry[]>;

  private readonly failingValues = new Set<'configuration' | 'list'>();

  /** @param options - Platform to read from and the VM that receives the values. */
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

  /** Starts reading both values. */
  start(): void {
    this.listReader.start();
    this.configurationReader.start();
  }

  /** Stops reading and closes the connections to the platform. */
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
    if (this.failingValues.delete(value)) this.options.onStatusChange(`the ${value} can be read again`);
  }

  private recordFailure(value: 'configuration' | 'list', failure: platformFailure.PlatformFailure): void {
    this.options.vm.post({ type: 'platform-failed', source: value });
    if (this.failingValues.has(value)) return;
    this.failingValues.add(value);
    this.options.onStatusChange(`the ${value} cannot be read: ${PlatformWatcher.describeFailure(failure)}`);
  }

  private static describeFailure(failure: platformFailure.PlatformFailure): string {
    switch (failure.type) {
      case 'bad-status':
        return `the platform responded with status ${failure.status}`;
      case 'too-large':
        return 'the response exceeds the size limit';
      default:
        return failure.detail;
    }
  }
}
