import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as entry from '@tamarackferry/entry';
import * as neverthrow from 'neverthrow';

import * as demoClock from './DemoClock.js';
import * as demoDeployment from './DemoDeployment.js';
import type * as demoFailure from './DemoFailure.js';
import * as demoPreset from './DemoPreset.js';
import type * as demoReport from './DemoReport.js';
import * as demoScenario from './DemoScenario.js';
import * as processGroup from './ProcessGroup.js';

const VM_COUNT = 4;
const ADDRESS_VALIDITY_MS = 3_000;

/** What was observed of each deployment, by its name. */
export type DemoResult = neverthrow.Result<ReadonlyMap<string, demoReport.DemoObservations>, demoFailure.DemoFailure>;

/** One run of all deployments at the same time. */
export class Demo {
  private readonly clock = new demoClock.DemoClock();

  private readonly processes = new processGroup.ProcessGroup();

  private readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tamarackferry-demo-'));

  private readonly log = new entry.vms.ProcessLog();

  /** Runs all deployments and resolves to what was observed. */
  async run(): Promise<DemoResult> {
    const presets = neverthrow.Result.combine(demoPreset.DemoPreset.listNames().map((name) => demoPreset.DemoPreset.readPreset(name)));
    if (presets.isErr()) return neverthrow.err(presets.error);
    const observed = await Promise.all(presets.value.map((preset, index) => this.runDeployment(preset, index)));
    return neverthrow.Result.combine(observed).map((observations) => new Map(observations.map((each, index) => (
      [presets.value[index]!.getDeployment(), each]))));
  }

  /** Ends all child processes and removes the settings files. */
  close(): void {
    this.processes.killAll();
    fs.rmSync(this.directory, { recursive: true, force: true });
  }

  private async runDeployment(
    preset: demoPreset.DemoPreset,
    seed: number,
  ): Promise<neverthrow.Result<demoReport.DemoObservations, demoFailure.DemoFailure>> {
    const { clock, log } = this;
    const deployment = new demoDeployment.DemoDeployment({
      preset, vmCount: VM_COUNT, addressValidityMs: ADDRESS_VALIDITY_MS, clock, processes: this.processes, directory: this.directory,
    });
    const started = await deployment.start();
    if (started.isErr()) return neverthrow.err(started.error);
    log.write('info', 'vm', `${preset.getDeployment()}: ${deployment.vms.length} VMs serve, ${deployment.upstreams.length} instances run`);
    const scenario = new demoScenario.DemoScenario({
      deployment, preset, clock, log, seed,
    });
    try {
      return await scenario.run();
    } finally {
      await scenario.close();
    }
  }
}
