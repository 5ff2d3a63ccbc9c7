import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';

import * as callers from '../callers/index.js';
import * as platform from '../platform/index.js';
import * as time from '../time/index.js';
import * as upstreams from '../upstreams/index.js';
import type * as entrySettings from './EntrySettings.js';

const INCARNATION_LENGTH = 12;

/** One running entry process: the decisions of a VM with the tasks that own its sockets. */
export class EntryProcess {
  private constructor(
    private readonly listener: callers.CallerListener,
    private readonly connections: upstreams.UpstreamConnections,
    private readonly watcher: platform.PlatformWatcher,
    private readonly vm: core.vms.Vm,
    /** Port that callers connect to. */
    readonly port: number,
  ) {}

  /**
   * Starts the process with checked settings.
   * @param settings - Settings of the process.
   */
  static async start(settings: entrySettings.EntrySettings): Promise<EntryProcess> {
    const scheduler = new core.tasks.TaskScheduler();
    const timers = new time.SystemTimerService();
    const random = new core.randomness.SeededRandomSource(crypto.randomInt(2 ** 31));
    let vm: core.vms.Vm | undefined;
    const inbox: core.tasks.Mailbox<core.vms.VmInput> = { post: (input) => vm?.post(input) };
    const listener = new callers.CallerListener({
      host: settings.host, port: settings.port, scheduler, random, vm: inbox,
    });
    const connections = new upstreams.UpstreamConnections({ scheduler, vm: inbox });
    const watcher = new platform.PlatformWatcher({
      url: settings.platformUrl, scheduler, timers, vm: inbox,
    });
    const port = await listener.listen();
    vm = new core.vms.Vm({
      identity: {
        name: settings.name,
        incarnation: random.drawToken(INCARNATION_LENGTH),
        host: settings.host,
        port,
        peerPort: settings.peerPort,
        place: settings.place,
      },
      deployment: settings.deployment,
      timers,
      random,
      codec: new core.contracts.TomlDocumentCodec(
        crypto.createPublicKey({ key: Buffer.from(settings.documentPublicKey, 'base64'), format: 'der', type: 'spki' }),
      ),
      outbox: { post: (output) => EntryProcess.deliver(output, listener, connections, watcher) },
      addressValidityMs: settings.addressValidityMs,
      seedPeers: settings.seedPeers,
    });
    watcher.start();
    return new EntryProcess(listener, connections, watcher, vm, port);
  }

  /** Begins a graceful shutdown. */
  stop(): void {
    this.vm.post({ type: 'stop' });
  }

  /** Closes all sockets at once. */
  async close(): Promise<void> {
    this.watcher.stop();
    await this.listener.close();
    await this.connections.close();
  }

  private static deliver(
    output: core.vms.VmOutput,
    listener: callers.CallerListener,
    connections: upstreams.UpstreamConnections,
    watcher: platform.PlatformWatcher,
  ): void {
    switch (output.type) {
      case 'caller-answer':
      case 'address-answer':
      case 'status-answer':
      case 'evidence-answer':
        listener.post(output);
        break;
      case 'send-attempt':
      case 'cancel-attempt':
      case 'stream-attempt':
      case 'send-probe':
        connections.post(output);
        break;
      case 'platform-mode':
        watcher.post(output);
        break;
      default:
        break;
    }
  }
}
