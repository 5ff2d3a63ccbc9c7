import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@tamarackferry/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';

const PRESETS = path.resolve(import.meta.dirname, '../presets');
const VM_COUNT = 3;
const ADDRESS_VALIDITY_MS = 500;

/** Time within which a condition has to hold; only a failing test waits so long. */
export const LIMIT_MS = 40_000;

/** Outcome that a VM gave for one operation; `cut` if the connection broke. */
export interface OperationReply {
  readonly id: string;
  readonly path: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cut';
}

/** Real processes of one deployment with a single service, for tests. */
export class TestFleet {
  readonly clock = new standins.demo.DemoClock();

  readonly preset = standins.demo.DemoPreset.readPreset('orders', PRESETS)._unsafeUnwrap();

  readonly deployment: standins.demo.DemoDeployment;

  private readonly processes = new standins.demo.ProcessGroup();

  private readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), 'tamarackferry-fleet-'));

  private readonly loads: standins.demo.DemoLoad[] = [];

  constructor() {
    this.deployment = new standins.demo.DemoDeployment({
      preset: this.preset,
      vmCount: VM_COUNT,
      addressValidityMs: ADDRESS_VALIDITY_MS,
      clock: this.clock,
      processes: this.processes,
      directory: this.directory,
    });
  }

  /** Starts all processes. */
  async start(): Promise<void> {
    vitest.expect(await this.deployment.start()).toMatchObject({ value: undefined });
  }

  /** Starts the load of the preset through the caller library. */
  startLoad(): standins.demo.DemoLoad {
    const load = new standins.demo.DemoLoad({
      seeds: this.deployment.vms.map((vm) => ({ host: '127.0.0.1', port: vm.port })),
      streams: this.preset.listStreams(),
      direct: undefined,
      timers: this.clock.timers,
      seed: 1,
    });
    this.loads.push(load);
    load.start();
    return load;
  }

  /** Waits until a condition holds. */
  async waitUntil(condition: string, check: () => Promise<boolean>): Promise<void> {
    vitest.expect(await this.clock.waitUntil(condition, LIMIT_MS, check)).toMatchObject({ value: undefined });
  }

  /** Fetches an operation prefix whose home is a VM. */
  async fetchPrefix(vm: standins.demo.DemoVm): Promise<string> {
    const page = await vm.fetchJson<{ readonly operationPrefix?: string }>('/-/addresses?service=orders');
    vitest.expect(page?.operationPrefix).toMatch(`${vm.options.name}.`);
    return page?.operationPrefix ?? '';
  }

  /** Sends one operation, or a repeat of it, to a VM. */
  async sendOperation(
    vm: standins.demo.DemoVm,
    operation: { readonly id: string; readonly path: string },
    deadlineMs: number,
  ): Promise<OperationReply> {
    try {
      const response = await undici.request(`http://127.0.0.1:${vm.port}/orders${operation.path}`, {
        method: 'POST',
        body: operation.path,
        headers: { 'tamarack-member': 'museum', 'tamarack-deadline-ms': String(deadlineMs), 'tamarack-operation-id': operation.id },
      });
      await response.body.dump();
      return { ...operation, outcome: response.headers['tamarack-outcome'] as OperationReply['outcome'] };
    } catch {
      return { ...operation, outcome: 'cut' };
    }
  }

  /** Counts the requests that took a slot of any instance. */
  async countStarted(): Promise<number> {
    const works = await Promise.all(this.deployment.upstreams.map((upstream) => upstream.fetchWork()));
    return works.reduce((total, work) => total + (work?.started ?? 0), 0);
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    await Promise.all(this.loads.map((load) => load.close()));
    await this.processes.close();
    fs.rmSync(this.directory, { recursive: true, force: true });
  }
}
