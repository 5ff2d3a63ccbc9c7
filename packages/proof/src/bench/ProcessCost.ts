import * as fs from 'node:fs';

// Linux counts processor time in ticks of 10 ms (USER_HZ).
const TICK_MS = 10;

const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Processor time and memory of another process, as Linux reports them. */
export class ProcessCost {
  /** @param pid - Id of the process. */
  constructor(private readonly pid: number) {}

  /** Reads the processor time that the process has used, in milliseconds. */
  readCpuMs(): number {
    // The name of the command may hold spaces, so the fields are counted after its closing bracket.
    const fields = fs.readFileSync(`/proc/${this.pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
    return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MS;
  }

  /** Reads the resident memory of the process, in bytes. */
  readResidentBytes(): number {
    const line = fs.readFileSync(`/proc/${this.pid}/status`, 'utf8').split('\n').find((each) => each.startsWith('VmRSS:'));
    return Number(line?.match(/\d+/)?.[0] ?? 0) * 1_024;
  }
}
