import * as path from 'node:path';
import type * as core from '@tamarackferry/core';

import type * as platform from '../platform/index.js';
import * as demoProcess from './DemoProcess.js';

const BINARY = path.join(import.meta.dirname, '..', 'main.js');

/** Process of the platform stand-in of one deployment. */
export class DemoPlatform extends demoProcess.DemoProcess {
  /** @param deployment - Name of the deployment. */
  constructor(deployment: string) {
    super(`platform of ${deployment}`, [BINARY, 'platform']);
  }

  /** Gets the base URL of the platform. */
  getUrl(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /**
   * Publishes a configuration document.
   * @param text - Sealed text.
   */
  publishDocument(text: string): Promise<void> {
    return this.sendControl('/-/configuration', text);
  }

  /**
   * Publishes the list of VMs.
   * @param entries - Entry VMs and upstream instances.
   */
  publishList(entries: readonly core.vms.ListEntry[]): Promise<void> {
    return this.sendControl('/-/vms', JSON.stringify({ entries }));
  }

  /**
   * Changes how the platform answers.
   * @param mode - New mode.
   */
  setMode(mode: platform.PlatformMode): Promise<void> {
    return this.sendControl('/-/mode', mode);
  }
}
