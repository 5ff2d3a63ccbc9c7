import * as logLine from './LogLine.js';
import * as processLog from './ProcessLog.js';
import * as requestHistory from './RequestHistory.js';

/**
 * Log lines of any number of VMs, grouped by process run. Clocks of VMs differ and each process counts its time from its own start, so only
 * the lines of one run are ordered by time.
 */
export class LogCollection {
  /** Number of lines that could not be parsed as log lines. */
  unreadableLineCount = 0;

  private readonly runs: processLog.ProcessLog[] = [];

  // By name of the VM.
  private readonly currentRuns = new Map<string, processLog.ProcessLog>();

  // Time of the latest line of the current run, by name of the VM.
  private readonly latestTimesMs = new Map<string, number>();

  /**
   * Adds a log line. The lines of one VM have to be added in the order in which they were written.
   * @param text - Line as the log collector stored it.
   */
  addText(text: string): void {
    if (text.trim() === '') return;
    const line = logLine.parseLogLine(text);
    if (line === undefined) this.unreadableLineCount += 1;
    else this.getOrStartRun(line).addLine(line);
  }

  /**
   * Finds the log lines of a request. Undefined if no line has its id.
   * @param id - Id of the request.
   */
  findRequest(id: string): requestHistory.RequestHistory | undefined {
    const run = this.runs.find((candidate) => candidate.listLines().some((line) => line.fields['id'] === id));
    return run === undefined ? undefined : new requestHistory.RequestHistory(id, run, this.runs);
  }

  private getOrStartRun(line: logLine.LogLine): processLog.ProcessLog {
    const currentRun = this.currentRuns.get(line.vm);
    // Times begin at 0 with each run. If a line is older than the latest one by more than the reordering within a run, the process was
    // restarted and the first line of the new run is missing.
    const restarted = line.event === 'process-started' || line.ms + LogCollection.MAX_REORDERING_MS < (this.latestTimesMs.get(line.vm) ?? 0);
    this.latestTimesMs.set(line.vm, restarted ? line.ms : Math.max(line.ms, this.latestTimesMs.get(line.vm) ?? 0));
    if (currentRun !== undefined && !restarted) return currentRun;
    const newRun = new processLog.ProcessLog(line.vm);
    this.runs.push(newRun);
    this.currentRuns.set(line.vm, newRun);
    return newRun;
  }

  // Lines of one run may be out of order by up to this time.
  private static readonly MAX_REORDERING_MS = 1_000;
}
