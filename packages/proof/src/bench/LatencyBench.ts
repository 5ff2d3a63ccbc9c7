import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@tamarackferry/standins';
import * as hdr from 'hdr-histogram-js';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

import * as processCost from './ProcessCost.js';

const PAIRS = 800;
const WARM_UP_PAIRS = 200;
const WORKERS = 24;
const LOADED_REQUESTS = 20_000;
const MICROSECONDS = 1_000;

/** Latency quantiles in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
}

/** Cost that one entry process adds to a request. */
export interface LatencyReport {
  readonly direct: Quantiles;
  readonly throughEntry: Quantiles;
  /** Difference of the quantiles. */
  readonly added: Quantiles;
  /** Requests a second through one entry process under load. */
  readonly requestsPerSecond: number;
  readonly answeredShare: number;
  /** Requests a second that one core of the entry process can carry. */
  readonly requestsPerCoreSecond: number;
  readonly residentBytes: number;
}

type Target = standins.demo.DemoStream;

/** Measures one entry process against direct calls to the same upstream stand-ins, in the same run. */
export class LatencyBench {
  private readonly clock = new standins.demo.DemoClock();

  private readonly processes = new standins.demo.ProcessGroup();

  /** Runs the measurement on the first preset of the demo. */
  async run(): Promise<neverthrow.Result<LatencyReport, standins.demo.DemoFailure>> {
    const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'bench-'));
    try {
      return await this.measure(directory);
    } finally {
      await this.processes.close();
      await fs.rm(directory, { recursive: true });
    }
  }

  private async measure(directory: string): Promise<neverthrow.Result<LatencyReport, standins.demo.DemoFailure>> {
    const preset = standins.demo.DemoPreset.readPreset(standins.demo.DemoPreset.listNames()[0]!);
    if (preset.isErr()) return neverthrow.err(preset.error);
    const deployment = new standins.demo.DemoDeployment({
      preset: preset.value, vmCount: 1, addressValidityMs: 2_000, clock: this.clock, processes: this.processes, directory,
    });
    const started = await deployment.start();
    if (started.isErr()) return neverthrow.err(started.error);
    const read = preset.value.listStreams().find((stream) => stream.kind.repeatability === 'idempotent');
    const vm = deployment.vms[0];
    const instance = deployment.upstreams.find((upstream) => upstream.options.service === read?.service);
    if (read === undefined || vm === undefined || instance === undefined) return neverthrow.err({ type: 'not-reached', condition: 'a read stream' });
    const direct = new undici.Pool(`http://127.0.0.1:${instance.port}`, { connections: 1 });
    const through = new undici.Pool(`http://127.0.0.1:${vm.port}`, { connections: WORKERS });
    const pairs = await this.measurePairs(direct, through, read);
    const loaded = await this.measureLoad(through, read, new processCost.ProcessCost(vm.getPid()));
    await Promise.all([direct.destroy(), through.destroy()]);
    return neverthrow.ok({ ...pairs, ...loaded });
  }

  private async measurePairs(
    direct: undici.Pool,
    through: undici.Pool,
    read: Target,
  ): Promise<Pick<LatencyReport, 'direct' | 'throughEntry' | 'added'>> {
    const directLatencies = hdr.build();
    const entryLatencies = hdr.build();
    const sendPair = async (pair: number): Promise<void> => {
      const first = await this.send(direct, `${read.kind.path_prefix}/${pair}`, read);
      const second = await this.send(through, `/${read.service}${read.kind.path_prefix}/${pair}`, read);
      if (pair >= WARM_UP_PAIRS) {
        directLatencies.recordValue(Math.round(first.elapsedMs * MICROSECONDS));
        entryLatencies.recordValue(Math.round(second.elapsedMs * MICROSECONDS));
      }
      if (pair + 1 < PAIRS) await sendPair(pair + 1);
    };
    await sendPair(0);
    const [directly, entered] = [directLatencies, entryLatencies].map((latencies): Quantiles => ({
      p50: latencies.getValueAtPercentile(50) / MICROSECONDS, p99: latencies.getValueAtPercentile(99) / MICROSECONDS,
    })) as [Quantiles, Quantiles];
    return { direct: directly, throughEntry: entered, added: { p50: entered.p50 - directly.p50, p99: entered.p99 - directly.p99 } };
  }

  private async measureLoad(
    through: undici.Pool,
    read: Target,
    cost: processCost.ProcessCost,
  ): Promise<Pick<LatencyReport, 'requestsPerSecond' | 'answeredShare' | 'requestsPerCoreSecond' | 'residentBytes'>> {
    const startMs = this.clock.timers.getNowMs();
    const startCpuMs = cost.readCpuMs();
    let sent = 0;
    let answered = 0;
    const work = async (): Promise<void> => {
      sent += 1;
      const { status } = await this.send(through, `/${read.service}${read.kind.path_prefix}/load-${sent}`, read);
      if (status === 200) answered += 1;
      if (sent < LOADED_REQUESTS) await work();
    };
    await Promise.all(Array.from({ length: WORKERS }, work));
    const elapsedMs = this.clock.timers.getNowMs() - startMs;
    return {
      requestsPerSecond: (sent * 1_000) / elapsedMs,
      answeredShare: answered / sent,
      requestsPerCoreSecond: (sent * 1_000) / (cost.readCpuMs() - startCpuMs),
      residentBytes: cost.readResidentBytes(),
    };
  }

  private async send(pool: undici.Pool, target: string, read: Target): Promise<{ readonly status: number; readonly elapsedMs: number }> {
    const startMs = this.clock.timers.getNowMs();
    const response = await pool.request({ method: 'GET', path: target, headers: { 'tamarack-member': read.member } });
    await response.body.dump();
    return { status: response.statusCode, elapsedMs: this.clock.timers.getNowMs() - startMs };
  }
}
