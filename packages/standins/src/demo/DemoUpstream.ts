import * as path from 'node:path';
import type * as core from '@tamarackferry/core';

import type * as upstreams from '../upstreams/index.js';
import * as demoProcess from './DemoProcess.js';

const BINARY = path.join(import.meta.dirname, '..', 'main.js');

/** Options of a `DemoUpstream`. */
export interface DemoUpstreamOptions {
  readonly name: string;
  readonly service: string;
  readonly place: string;
  readonly slots: number;
  readonly serviceTimeMs: number;
}

/** Process of one upstream instance. */
export class DemoUpstream extends demoProcess.DemoProcess {
  /** @param options - Name, service and capacity. */
  constructor(readonly options: DemoUpstreamOptions) {
    super(`upstream ${options.name}`, [
      BINARY, 'upstream', '--name', options.name, '--slots', String(options.slots), '--service-time-ms', String(options.serviceTimeMs),
    ]);
  }

  /** Builds the entry of the platform's list. */
  buildListEntry(): core.vms.UpstreamListEntry {
    const { name, service, place } = this.options;
    return {
      role: 'upstream', name, service, incarnation: 'first', host: '127.0.0.1', port: this.port, place, state: 'live',
    };
  }

  /**
   * Changes how the instance serves.
   * @param mode - New mode.
   */
  setMode(mode: upstreams.UpstreamMode): Promise<void> {
    return this.sendControl('/-/mode', mode);
  }

  /**
   * Changes whether the instance takes work.
   * @param state - New state.
   */
  setDrain(state: upstreams.DrainState): Promise<void> {
    return this.sendControl('/-/drain', state);
  }

  /** Reads the work that the instance took. Undefined if it does not answer. */
  fetchWork(): Promise<upstreams.WorkCounts | undefined> {
    return this.fetchJson<upstreams.WorkCounts>('/-/work');
  }
}
