import type * as core from '@tamarackferry/core';
import type * as entry from '@tamarackferry/entry';
import * as neverthrow from 'neverthrow';

import type * as demoClock from './DemoClock.js';
import type * as demoDeployment from './DemoDeployment.js';
import type * as demoFailure from './DemoFailure.js';
import * as demoLoad from './DemoLoad.js';
import type * as demoPreset from './DemoPreset.js';
import type * as demoReport from './DemoReport.js';
import type * as demoUpstream from './DemoUpstream.js';
import * as directCaller from './DirectCaller.js';
import * as fleetWatch from './FleetWatch.js';

const QUIET_MS = 6_000;
const STEP_MS = 3_000;
const REPLACE_AFTER_MS = 1_500;
const LAST_PHASE_MS = 7_000;
const DRAIN_BOUND_MS = 5_000;
const STEP_LIMIT_MS = 10_000;
// Requests whose callers have gone may still hold slots.
const SETTLE_MS = 1_000;
const KILLED_VM = 1;
const EXPECTED_VERSION = 2;

/** Options of a `DemoScenario`. */
export interface DemoScenarioOptions {
  readonly deployment: demoDeployment.DemoDeployment;
  readonly preset: demoPreset.DemoPreset;
  readonly clock: demoClock.DemoClock;
  readonly log: entry.vms.ProcessLog;
  readonly seed: number;
}

/** Sequence of faults and changes that one deployment goes through under load. */
export class DemoScenario {
  private readonly direct: directCaller.DirectCaller;

  private readonly load: demoLoad.DemoLoad;

  private readonly watch: fleetWatch.FleetWatch;

  /** @param options - Deployment that serves. */
  constructor(private readonly options: DemoScenarioOptions) {
    const {
      deployment, preset, clock: { timers }, seed,
    } = options;
    this.direct = new directCaller.DirectCaller(deployment.upstreams, timers);
    this.load = new demoLoad.DemoLoad({
      seeds: deployment.vms.map((vm) => ({ host: '127.0.0.1', port: vm.port })), streams: preset.listStreams(), direct: this.direct, timers, seed,
    });
    this.watch = new fleetWatch.FleetWatch({ listVms: () => deployment.listRunningVms(), timers });
  }

  /** Runs all steps and resolves to what was observed. */
  async run(): Promise<neverthrow.Result<demoReport.DemoObservations, demoFailure.DemoFailure>> {
    const { clock, deployment } = this.options;
    this.watch.start();
    this.load.start();
    this.report('callers', 'the load begins');
    await clock.wait(QUIET_MS);
    this.load.post({ type: 'faults-begin' });
    await this.setGray();
    await clock.wait(STEP_MS);
    this.report('contracts', `version ${EXPECTED_VERSION} is published`);
    await deployment.publishNextDocument();
    await clock.wait(STEP_MS);
    const drained = this.drainUpstream();
    await clock.wait(STEP_MS);
    const replaced = await this.killAndReplace();
    await clock.wait(LAST_PHASE_MS);
    const drainedWork = await drained;
    const calls = await this.load.stop();
    await clock.wait(SETTLE_MS);
    if (replaced.isErr()) return neverthrow.err(replaced.error);
    return neverthrow.ok({
      calls,
      ...this.watch.stop(),
      runs: await deployment.countRuns(),
      directLatenciesMs: this.direct.getLatenciesMs(),
      versions: await deployment.listVersions(),
      expectedVersion: EXPECTED_VERSION,
      grayInstance: this.getGray().options.name,
      lateDrainWork: await this.countLateWork(drainedWork),
    });
  }

  /** Ends load and polling, and closes all connections. */
  async close(): Promise<void> {
    this.watch.stop();
    await Promise.all([this.load.close(), this.direct.close()]);
  }

  private getGray(): demoUpstream.DemoUpstream {
    return this.options.deployment.upstreams[0]!;
  }

  private async setGray(): Promise<void> {
    const gray = this.getGray();
    const mode = this.options.preset.getGrayMode();
    this.report('upstreams', `${gray.options.name} turns gray, mode ${mode}`);
    await gray.setMode(mode);
  }

  // Instance of the same service as the gray one, so that both count against one floor.
  private getDrained(): demoUpstream.DemoUpstream {
    return this.options.deployment.upstreams[1]!;
  }

  /** Resolves to the work of the drained instance at the bound after the first VM saw the signal. */
  private async drainUpstream(): Promise<number | undefined> {
    const { clock, deployment } = this.options;
    const drained = this.getDrained();
    this.report('upstreams', `${drained.options.name} announces that it leaves`);
    await drained.setDrain('announcing');
    const seen = await clock.waitUntil('a VM sees the drain signal', STEP_LIMIT_MS, async () => {
      const statuses = await Promise.all(deployment.listRunningVms().map((vm) => vm.fetchStatus()));
      return statuses.some((status) => status !== undefined && DemoScenario.isLeaving(status, drained.options.name));
    });
    if (seen.isErr()) return undefined;
    await clock.wait(DRAIN_BOUND_MS);
    return (await drained.fetchWork())?.started;
  }

  private async countLateWork(startedAtBound: number | undefined): Promise<number | undefined> {
    const work = await this.getDrained().fetchWork();
    return startedAtBound === undefined || work === undefined ? undefined : work.started - startedAtBound;
  }

  private async killAndReplace(): Promise<neverthrow.Result<void, demoFailure.DemoFailure>> {
    const { clock, deployment } = this.options;
    const killed = deployment.vms[KILLED_VM]!;
    this.report('vm', `${killed.name} is killed`);
    killed.kill('SIGKILL');
    await killed.ended;
    await clock.wait(REPLACE_AFTER_MS);
    const replaced = await deployment.startReplacement(KILLED_VM);
    if (replaced.isErr()) return replaced;
    this.report('vm', `${killed.name} is replaced`);
    return deployment.waitForVersion(STEP_LIMIT_MS);
  }

  private report(prefix: string, text: string): void {
    const { ended, answered } = this.load.countCalls();
    this.options.log.write('info', prefix, `${this.options.preset.getDeployment()}: ${text}, ${answered} of ${ended} requests answered so far`);
  }

  private static isLeaving(status: core.vms.VmStatus, instance: string): boolean {
    return status.upstreams.some(({ instances }) => instances.some(({ name, state }) => name === instance && state === 'leaving'));
  }
}
