import * as core from '@tamarackferry/core';
import * as neverthrow from 'neverthrow';

import type * as demoClock from './DemoClock.js';
import type * as demoFailure from './DemoFailure.js';
import * as demoPlatform from './DemoPlatform.js';
import type * as demoPreset from './DemoPreset.js';
import * as demoUpstream from './DemoUpstream.js';
import * as demoVm from './DemoVm.js';
import type * as processGroup from './ProcessGroup.js';

const READY_LIMIT_MS = 30_000;

/** Options of a `DemoDeployment`. */
export interface DemoDeploymentOptions {
  readonly preset: demoPreset.DemoPreset;
  readonly vmCount: number;
  readonly addressValidityMs: number;
  readonly clock: demoClock.DemoClock;
  readonly processes: processGroup.ProcessGroup;
  /** Directory for the settings files of the entry processes. */
  readonly directory: string;
}

type StepResult = neverthrow.Result<void, demoFailure.DemoFailure>;

/** Processes of one deployment on loopback: entry VMs, upstream instances and the platform. */
export class DemoDeployment {
  readonly platform: demoPlatform.DemoPlatform;

  readonly upstreams: readonly demoUpstream.DemoUpstream[];

  /** Entry processes, one for each VM; a replaced one is not listed. */
  vms: readonly demoVm.DemoVm[] = [];

  private readonly keys = core.contracts.DocumentKeys.generate();

  private version = 0;

  /** @param options - Preset and scale. */
  constructor(private readonly options: DemoDeploymentOptions) {
    const { preset, processes } = options;
    this.platform = processes.add(new demoPlatform.DemoPlatform(preset.getDeployment()));
    this.upstreams = preset.listInstances().map((instance) => processes.add(new demoUpstream.DemoUpstream(instance)));
  }

  /** Starts all processes and waits until every VM serves. */
  async start(): Promise<StepResult> {
    const children = [this.platform, ...this.upstreams];
    const standins = neverthrow.Result.combine(await Promise.all(children.map((each) => each.waitForListening())));
    if (standins.isErr()) return neverthrow.err(standins.error);
    this.vms = Array.from({ length: this.options.vmCount }, (_, index) => this.createVm(index));
    const vms = neverthrow.Result.combine(await Promise.all(this.vms.map((vm) => vm.waitForListening())));
    if (vms.isErr()) return neverthrow.err(vms.error);
    await this.publishList();
    await this.publishNextDocument();
    return this.waitForVersion(READY_LIMIT_MS);
  }

  /** Seals and publishes the next version of the document. */
  async publishNextDocument(): Promise<void> {
    this.version += 1;
    await this.platform.publishDocument(this.options.preset.sealDocument(this.version, this.keys));
  }

  /**
   * Waits until the last published version is in force at every VM.
   * @param limitMs - Greatest time to wait.
   */
  waitForVersion(limitMs: number): Promise<StepResult> {
    return this.options.clock.waitUntil(`version ${this.version} in force at every VM`, limitMs, async () => {
      const serving = await Promise.all(this.listRunningVms().map((vm) => vm.isServing(this.version)));
      return serving.every((each) => each);
    });
  }

  /** Publishes the list of all VMs and instances. */
  publishList(): Promise<void> {
    return this.platform.publishList([...this.vms, ...this.upstreams].map((each) => each.buildListEntry()));
  }

  /**
   * Starts a new process in place of one that has ended and lists it.
   * @param index - Number of the VM.
   */
  async startReplacement(index: number): Promise<StepResult> {
    const started = await this.startUnlisted(index);
    if (started.isOk()) await this.publishList();
    return started.map(() => undefined);
  }

  /**
   * Starts a new process in place of one that has ended, without a change of the list.
   * @param index - Number of the VM.
   */
  async startUnlisted(index: number): Promise<neverthrow.Result<demoVm.DemoVm, demoFailure.DemoFailure>> {
    const vm = this.createVm(index);
    this.vms = this.vms.map((each, other) => (other === index ? vm : each));
    return vm.waitForListening();
  }

  /** Lists the entry processes that run. */
  listRunningVms(): readonly demoVm.DemoVm[] {
    return this.vms.filter((vm) => vm.isRunning());
  }

  /** Counts the runs of each operation, by its path, over all instances. */
  async countRuns(): Promise<ReadonlyMap<string, number>> {
    const works = await Promise.all(this.upstreams.map((upstream) => upstream.fetchWork()));
    return works.flatMap((work) => Object.entries(work?.runsByPath ?? {}))
      .reduce((counts, [path, runs]) => counts.set(path, (counts.get(path) ?? 0) + runs), new Map<string, number>());
  }

  /** Lists the versions in force at the entry processes that run, each once; 0 for a VM without a document. */
  async listVersions(): Promise<readonly number[]> {
    const statuses = await Promise.all(this.listRunningVms().map((vm) => vm.fetchStatus()));
    return [...new Set(statuses.map((status) => status?.configuration.document?.version ?? 0))].sort();
  }

  private createVm(index: number): demoVm.DemoVm {
    const {
      preset, addressValidityMs, directory, processes,
    } = this.options;
    const places = preset.listPlaces();
    const deployment = preset.getDeployment();
    return processes.add(new demoVm.DemoVm({
      name: `${deployment}-${index + 1}`,
      deployment,
      place: places[index % places.length]!,
      platformUrl: this.platform.getUrl(),
      documentPublicKey: this.keys.publicKey.export({ format: 'der', type: 'spki' }).toString('base64'),
      addressValidityMs,
      directory,
      // The VMs that run, so that a replaced one reaches them also while the platform is down.
      seedPeers: this.vms.filter((vm, other) => other !== index && vm.isRunning()).map((vm) => vm.buildListEntry()),
    }));
  }
}
