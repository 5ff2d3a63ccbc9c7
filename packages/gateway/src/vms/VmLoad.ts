/** Work of a VM, as it reports it itself. All figures are smoothed over about half a second. */
export interface VmLoad {
  /** Work that callers offer, in cores. Estimated above the processor time used while the VM is saturated. */
  readonly cores: number;
  /** Bytes on its links in the busier direction, in Mbit/s. */
  readonly linkMbps: number;
  /** Cores that the VM can use now: less than its capacity while it is slowed down, and soon after its start. */
  readonly bears: number;
  /** Share of its memory in use. */
  readonly memoryShare: number;
}

/** One measurement of a VM by itself. */
export interface VmLoadSample {
  /** Processor time used since the previous measurement, in cores. */
  readonly cores: number;
  /** Bytes on links since the previous measurement, in Mbit/s of the busier direction. */
  readonly linkMbps: number;
  /** Time by which the timer of the measurement fired late, in milliseconds. */
  readonly loopDelayMs: number;
  /** Share of the memory of the process in use. */
  readonly memoryShare: number;
  /** Requests of callers in progress. */
  readonly openRequests: number;
  /** Requests of callers that arrived since the previous measurement, per second. */
  readonly requestsPerSecond: number;
}

/** Work that the callers of a place offer, as a VM of the place has observed it. */
export interface PlaceDemand {
  readonly cores: number;
  readonly linkMbps: number;
}
