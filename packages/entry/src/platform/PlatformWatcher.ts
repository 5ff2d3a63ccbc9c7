import * as core from '@tamarackferry/core';
import * as undici from 'undici';

const READ_PERIOD_MS = 1_000;

/** Message to the `PlatformWatcher`. */
export type PlatformMessage = { readonly type: 'read-due' } | Extract<core.vms.VmOutput, { type: 'platform-mode' }>;

/** Options of a `PlatformWatcher`. */
export interface PlatformWatcherOptions {
  /** Base URL of the platform's service. */
  readonly url: string;
  readonly scheduler: core.tasks.TaskScheduler;
  readonly timers: core.time.TimerService;
  readonly vm: core.tasks.Mailbox<core.vms.VmInput>;
}

/** Owns the connection to the platform and reads the configuration and the list of VMs. */
export class PlatformWatcher extends core.tasks.Task<PlatformMessage> {
  private subscription: core.time.TimerSubscription | undefined;

  /** @param options - Address of the platform and the VM that gets what was read. */
  constructor(private readonly options: PlatformWatcherOptions) {
    super(options.scheduler);
  }

  /** Begins to read. */
  start(): void {
    this.subscription = this.options.timers.subscribe({
      mailbox: this, message: { type: 'read-due' }, delayMs: 0, periodMs: READ_PERIOD_MS,
    });
  }

  /** Ends reading. */
  stop(): void {
    this.subscription?.cancel();
  }

  /** @internal */
  override handle(message: PlatformMessage): void {
    if (message.type !== 'read-due') return;
    const { vm } = this.options;
    this.readText('/vms').then(
      (text) => vm.post({ type: 'list-read', entries: (JSON.parse(text) as { entries: core.vms.ListEntry[] }).entries }),
      () => vm.post({ type: 'platform-failed', source: 'list' }),
    );
    this.readText('/configuration').then(
      (text) => vm.post({ type: 'configuration-read', text }),
      () => vm.post({ type: 'platform-failed', source: 'configuration' }),
    );
  }

  private async readText(path: string): Promise<string> {
    const response = await undici.request(`${this.options.url}${path}`);
    return response.body.text();
  }
}
