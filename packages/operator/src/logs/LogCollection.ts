import * as logLine from './LogLine.js';
import * as processLog from './ProcessLog.js';
import * as requestLog from './RequestLog.js';

/** Logs of any number of VMs. Clocks of VMs differ, so that only lines of one run of a process are put in order. */
export class LogCollection {
  /** Lines that are no log line. */
  unreadableLineCount = 0;

  private readonly runs: processLog.ProcessLog[] = [];

  private readonly currentRuns = new Map<string, processLog.ProcessLog>();

  private readonly latestTimesMs = new Map<string, number>();

  /**
   * Adds a line. The lines of each VM come in the order in which they were written.
   * @param text - Line as collected.
   */
  addText(text: string): void {
    if (text.trim() === '') return;
    const line = logLine.parseLogLine(text);
    if (line === undefined) this.unreadableLineCount += 1;
    else this.getOrStartRun(line).addLine(line);
  }

  /**
   * Finds all that is logged of a request. Undefined if there is nothing.
   * @param id - Id of the request.
   */
  findRequest(id: string): requestLog.RequestLog | undefined {
    const run = this.runs.find((candidate) => candidate.listLines().some((line) => line.fields['id'] === id));
    return run === undefined ? undefined : new requestLog.RequestLog(id, run, this.runs);
  }

  private getOrStartRun(line: logLine.LogLine): processLog.ProcessLog {
    const known = this.currentRuns.get(line.vm);
    // The steady time begins anew with each run; lines of one run are at most a moment out of order.
    const restarted = line.event === 'process-started' || line.ms + LogCollection.MAX_REORDERING_MS < (this.latestTimesMs.get(line.vm) ?? 0);
    this.latestTimesMs.set(line.vm, restarted ? line.ms : Math.max(line.ms, this.latestTimesMs.get(line.vm) ?? 0));
    if (known !== undefined && !restarted) return known;
    const opened = new processLog.ProcessLog(line.vm);
    this.runs.push(opened);
    this.currentRuns.set(line.vm, opened);
    return opened;
  }

  private static readonly MAX_REORDERING_MS = 1_000;
}
