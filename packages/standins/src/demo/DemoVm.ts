import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import type * as core from '@tamarackferry/core';

import * as demoProcess from './DemoProcess.js';

// The package exports its main module, next to which its binary stands.
const BINARY = path.join(path.dirname(url.fileURLToPath(import.meta.resolve('@tamarackferry/entry'))), 'main.js');

/** Options of a `DemoVm`. */
export interface DemoVmOptions {
  readonly name: string;
  readonly deployment: string;
  readonly place: string;
  readonly platformUrl: string;
  /** Public key of the console, base64 of its SPKI form. */
  readonly documentPublicKey: string;
  readonly addressValidityMs: number;
  /** Directory for the settings file. */
  readonly directory: string;
  readonly seedPeers?: readonly core.vms.EntryVmListEntry[];
}

function formatSettings(options: DemoVmOptions): string {
  return [
    `name = "${options.name}"`,
    `deployment = "${options.deployment}"`,
    `place = "${options.place}"`,
    'host = "127.0.0.1"',
    'port = 0',
    'peer_port = 0',
    `platform_url = "${options.platformUrl}"`,
    `document_public_key = "${options.documentPublicKey}"`,
    '[limits]',
    `address_validity_ms = ${options.addressValidityMs}`,
    ...(options.seedPeers ?? []).flatMap((peer) => [
      '[[seed_peers]]', `name = "${peer.name}"`, `host = "${peer.host}"`, `port = ${peer.port}`, `peer_port = ${peer.peerPort}`, `place = "${peer.place}"`,
    ]),
    '',
  ].join('\n');
}

function writeSettings(options: DemoVmOptions): string {
  const file = path.join(options.directory, `${options.name}.toml`);
  fs.writeFileSync(file, formatSettings(options));
  return file;
}

/** Entry process of one VM. */
export class DemoVm extends demoProcess.DemoProcess {
  private peerPort = 0;

  /** @param options - Settings of the process. */
  constructor(readonly options: DemoVmOptions) {
    super(`entry ${options.name}`, [BINARY, '--settings', writeSettings(options)]);
  }

  /** Builds the entry of the platform's list. */
  buildListEntry(): core.vms.EntryVmListEntry {
    const { name, place } = this.options;
    return {
      role: 'entry', name, host: '127.0.0.1', port: this.port, peerPort: this.peerPort, place, state: 'live',
    };
  }

  /** Reads the status page. Undefined if the process does not answer. */
  fetchStatus(): Promise<core.vms.VmStatus | undefined> {
    return this.fetchJson<core.vms.VmStatus>('/-/status');
  }

  /**
   * Whether the VM serves under a document.
   * @param version - Version of the document.
   */
  async isServing(version: number): Promise<boolean> {
    const status = await this.fetchStatus();
    return status?.state === 'serving' && status.configuration.document?.version === version;
  }

  protected override acceptListening(line: demoProcess.ListeningLine): void {
    super.acceptListening(line);
    this.peerPort = line.peerPort ?? 0;
  }
}
