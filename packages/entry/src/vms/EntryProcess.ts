import * as crypto from 'node:crypto';
import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import * as callers from '../callers/index.js';
import * as links from '../links/index.js';
import * as metrics from '../metrics/index.js';
import * as platform from '../platform/index.js';
import * as upstreams from '../upstreams/index.js';
import * as entrySettings from './EntrySettings.js';
import * as processLog from './ProcessLog.js';

// Length of the incarnation, which identifies one run of a VM. Two runs must never have the same one, so it is not drawn from the
// seeded random source.
const INCARNATION_BYTES = 8;

/** Reason why a process cannot start: a port cannot be bound. */
export interface StartFailure {
  readonly type: 'port-unavailable';
  readonly port: number;
  readonly detail: string;
}

interface ProcessComponents {
  readonly listener: callers.CallerListener;
  readonly connections: upstreams.UpstreamConnections;
  readonly watcher: platform.PlatformWatcher;
  readonly peerServer: links.PeerServer;
  readonly peerConnections: links.PeerConnections;
  readonly flusher: metrics.MetricsFlusher | undefined;
  readonly log: processLog.ProcessLog;
}

/** Entry process: connects the tasks of a VM, which make the decisions, with the tasks that own its sockets. */
export class EntryProcess {
  /** Port that the process listens on for callers, 0 until it is bound. */
  port = 0;

  /** Port that the process listens on for peers, 0 until it is bound. */
  peerPort = 0;

  private vm: core.vms.Vm | undefined;

  private readonly components: ProcessComponents;

  private readonly timers = new core.time.SystemTimerService();

  private readonly random = new core.randomness.SeededRandomSource(crypto.randomInt(2 ** 31));

  private readonly ended: Promise<void>;

  private notifyEnded: () => void = () => undefined;

  private constructor(private readonly settings: entrySettings.EntrySettings) {
    this.ended = new Promise((resolve) => {
      this.notifyEnded = resolve;
    });
    this.components = this.buildComponents();
  }

  /**
   * Binds the ports and starts the VM.
   * @param settings - Settings of the process.
   */
  static async start(settings: entrySettings.EntrySettings): Promise<neverthrow.Result<EntryProcess, StartFailure>> {
    const entryProcess = new EntryProcess(settings);
    const { listener, peerServer } = entryProcess.components;
    const peerPort = await peerServer.listen();
    const port = await listener.listen();
    if (port.isErr() || peerPort.isErr()) {
      await entryProcess.close();
      return port.isErr()
        ? neverthrow.err({ type: 'port-unavailable', port: settings.port, detail: port.error })
        : neverthrow.err({ type: 'port-unavailable', port: settings.peerPort, detail: peerPort.isErr() ? peerPort.error : '' });
    }
    entryProcess.port = port.value;
    entryProcess.peerPort = peerPort.value;
    entryProcess.startVm();
    return neverthrow.ok(entryProcess);
  }

  /** Starts a graceful shutdown. `waitForEnd` resolves when it is complete. */
  stop(): void {
    this.components.log.write('info', 'vm', 'graceful shutdown started');
    this.components.listener.post({ type: 'stop' });
    this.vm?.post({ type: 'stop' });
  }

  /** Resolves when all sockets are closed, after a graceful shutdown or `close`. */
  waitForEnd(): Promise<void> {
    return this.ended;
  }

  /** Stops accepting connections of callers, waits until all open requests have ended, and closes all sockets. */
  async close(): Promise<void> {
    const {
      listener, connections, watcher, peerServer, peerConnections, flusher,
    } = this.components;
    await listener.close();
    await Promise.all([connections.close(), watcher.close(), peerServer.close(), peerConnections.close(), flusher?.close()]);
    this.notifyEnded();
  }

  private buildComponents(): ProcessComponents {
    const { settings, timers, random } = this;
    const { host, port, peerPort } = settings;
    const scheduler = new core.tasks.TaskScheduler();
    const log = new processLog.ProcessLog();
    const limits = settings.limits ?? entrySettings.DEFAULT_LIMITS;
    const vm: core.tasks.Mailbox<core.vms.VmInput> = { post: (input) => this.vm?.post(input) };
    const listener = new callers.CallerListener({
      host, port, limits, scheduler, timers, random, vm, connections: { post: (message) => this.components.connections.post(message) },
    });
    return {
      listener,
      connections: new upstreams.UpstreamConnections({
        scheduler, timers, vm, listener, bufferBytes: limits.bufferBytes,
      }),
      watcher: new platform.PlatformWatcher({
        source: new platform.HttpPlatformSource(settings.platformUrl),
        scheduler,
        timers,
        random,
        vm,
        onStatusChange: (text) => log.write('warn', 'platform', text),
      }),
      peerServer: new links.PeerServer({
        host, port: peerPort, scheduler, vm,
      }),
      peerConnections: new links.PeerConnections({
        scheduler, timers, transport: new links.TrpcPeerTransport(), vm,
      }),
      flusher: settings.metrics === undefined ? undefined : new metrics.MetricsFlusher({
        ...settings.metrics, scheduler, onError: (text) => log.write('warn', 'metrics', text),
      }),
      log,
    };
  }

  private startVm(): void {
    const { settings, timers, random } = this;
    this.vm = new core.vms.Vm({
      identity: {
        name: settings.name,
        incarnation: crypto.randomBytes(INCARNATION_BYTES).toString('hex'),
        host: settings.advertisedHost ?? settings.host,
        port: settings.advertisedPort ?? this.port,
        peerPort: settings.advertisedPeerPort ?? this.peerPort,
        place: settings.place,
      },
      deployment: settings.deployment,
      timers,
      random,
      codec: new core.contracts.TomlDocumentCodec(
        crypto.createPublicKey({ key: Buffer.from(settings.documentPublicKey, 'base64'), format: 'der', type: 'spki' }),
      ),
      outbox: { post: (output) => this.handleOutput(output) },
      addressValidityMs: settings.addressValidityMs,
      seedPeers: settings.seedPeers,
    });
    this.components.watcher.start();
  }

  private handleOutput(output: core.vms.VmOutput): void {
    const { components: parts } = this;
    switch (output.type) {
      case 'caller-answer':
      case 'address-answer':
      case 'status-answer':
      case 'evidence-answer':
        parts.listener.post(output);
        break;
      case 'document-accepted':
        parts.listener.post(output);
        parts.log.write('info', 'contracts', `configuration document version ${output.reference.version} is in force`);
        break;
      case 'send-attempt':
      case 'cancel-attempt':
      case 'stream-attempt':
      case 'send-probe':
        parts.connections.post(output);
        break;
      case 'send-peer':
        parts.peerConnections.post(output);
        break;
      case 'platform-mode':
        parts.watcher.post(output);
        break;
      case 'evidence-flush':
        parts.flusher?.post(output);
        break;
      case 'log':
        parts.log.write(output.level, output.prefix, output.text);
        break;
      case 'stopped':
        void this.close();
        break;
      // no default
    }
  }
}
