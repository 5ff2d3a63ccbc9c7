import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/** Measures the memory that is in use, without garbage. */
export class HeapMeter {
  private readonly collect: () => void;

  constructor() {
    v8.setFlagsFromString('--expose-gc');
    this.collect = vm.runInNewContext('gc') as () => void;
  }

  /** Measures the memory of objects and buffers, in bytes. */
  measureBytes(): number {
    this.collect();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  }
}
