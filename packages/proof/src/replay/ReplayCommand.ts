import * as fs from 'node:fs';
import * as neverthrow from 'neverthrow';

import type * as traces from '../traces/index.js';
import * as traceReplay from './TraceReplay.js';

/** Options of a `ReplayCommand`. */
export interface ReplayCommandOptions {
  readonly files: readonly string[];
  readonly format: 'text' | 'json';
  /** Receives each line of output. */
  readonly print: (line: string) => void;
}

function formatFailure(file: string, failure: traces.TraceFailure): string {
  const place = failure.preset === '' ? file : `preset ${failure.preset}`;
  return failure.line === 0 ? `${place}: ${failure.reason}` : `${place}:${failure.line}: ${failure.reason}`;
}

/** Command that replays trace files and prints which stated outcomes were met. */
export class ReplayCommand {
  /**
   * Runs the command and returns its exit code: 0 all met, 1 one not met, 2 a file is wrong.
   * @param options - Files and output.
   */
  static run(options: ReplayCommandOptions): number {
    if (options.files.length === 0) {
      options.print('replay: name at least one trace file');
      return 2;
    }
    return Math.max(...options.files.map((file) => ReplayCommand.runFile(file, options)));
  }

  private static runFile(file: string, options: ReplayCommandOptions): number {
    const read = neverthrow.fromThrowable(() => fs.readFileSync(file, 'utf8'), (): traces.TraceFailure => ({
      type: 'trace-failure', preset: '', line: 0, reason: 'cannot be read',
    }));
    return read().andThen((text) => traceReplay.TraceReplay.replay(text)).match(
      (report) => {
        ReplayCommand.printReport(file, report, options);
        return report.result === 'met' ? 0 : 1;
      },
      (failure) => {
        options.print(options.format === 'json' ? JSON.stringify({ file, failure }) : formatFailure(file, failure));
        return 2;
      },
    );
  }

  private static printReport(file: string, report: traceReplay.ReplayReport, options: ReplayCommandOptions): void {
    if (options.format === 'json') {
      options.print(JSON.stringify({ file, ...report }));
      return;
    }
    options.print(`${file}: ${report.result === 'met' ? 'met' : 'NOT MET'} (${report.deployment}, seed ${report.seed}, ${report.endMs / 1_000} s)`);
    report.verdicts.forEach((verdict) => {
      options.print(`  ${verdict.verdict === 'met' ? 'met    ' : 'NOT MET'} ${verdict.text} [${verdict.seen}]`);
    });
  }
}
