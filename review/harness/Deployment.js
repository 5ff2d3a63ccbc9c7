import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

import * as client from './Client.js';
import * as frontMachine from './FrontMachine.js';
import * as instanceStandin from './InstanceStandin.js';
import * as recordFile from './Record.js';
import * as storeStandin from './StoreStandin.js';

const METRICS_PORT = 9_464;
const READY_TIMEOUT_MS = 15_000;
export const HOST_NAME = 'ficu95.example';

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

// Loopback addresses on which all ports of a machine are free.
async function findHosts(count) {
  const block = `127.${crypto.randomInt(20, 250)}.${crypto.randomInt(1, 250)}`;
  const hosts = Array.from({ length: count }, (_, index) => `${block}.${index + 10}`);
  const { PORTS } = frontMachine;
  const ports = [PORTS.front, PORTS.directory, PORTS.control, PORTS.ready, PORTS.first, METRICS_PORT];
  const checks = await Promise.all(hosts.flatMap((host) => ports.map((port) => isFree(host, port))));
  return checks.every(Boolean) ? hosts : findHosts(count);
}

/** Small deployment on loopback addresses: a store, instances and machines of the system. */
export class Deployment {
  /** `machines` lists the name and the zone of each machine. */
  constructor({ folder, machines, zones }) {
    this.record = new recordFile.Record(path.join(folder, 'record.txt'));
    this.client = new client.Client(this.record);
    this.store = new storeStandin.StoreStandin(this.record);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.layout = { machines, zones };
    this.instances = [];
    this.machines = [];
  }

  async startInstance(options) {
    const started = new instanceStandin.InstanceStandin({ record: this.record, ...options });
    await started.listen('127.0.0.1');
    this.instances.push(started);
    this.store.setItem(`servers/${options.id}`, started.buildEntry('ready'));
    this.record.write(`store    entry of ${options.id} (${options.service}) ready`);
    return started;
  }

  publishConfiguration(version, routes, services, limits = {}) {
    const atMs = this.store.setItem('op/config', {
      version,
      routes,
      services: Object.fromEntries(services.map((name) => [name, {
        health_path: '/health', max_connections: 390, protocol: 'h1', tls: false,
      }])),
      limits: {
        max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: '3000ms', idle_timeout: '15000ms', ...limits,
      },
    });
    this.record.write(`store    configuration ${version} acknowledged: ${JSON.stringify(routes)}`, atMs);
    return atMs;
  }

  /** Starts all machines. Returns false if not all of them become ready. */
  async startMachines() {
    const { machines, zones } = this.layout;
    const storeAddress = await this.store.listen('127.0.0.1');
    const hosts = await findHosts(machines.length);
    this.machines = machines.map(({ name, zone }, index) => new frontMachine.FrontMachine({
      name,
      zone,
      zones,
      host: hosts[index],
      seeds: hosts.filter((_, other) => machines[other].isSeed === true),
      storeAddress,
      folder: this.folder,
      record: this.record,
    }));
    this.machines.forEach((machine) => machine.start());
    const states = await Promise.all(this.machines.map((machine) => machine.waitForReady(this.client, READY_TIMEOUT_MS)));
    return states.every(Boolean);
  }

  getMachine(name) {
    return this.machines.find((machine) => machine.options.name === name);
  }

  /** Ends all processes and servers that were started. */
  async close() {
    await Promise.all(this.machines.map((machine) => machine.kill()));
    this.instances.forEach((instance) => instance.close());
    this.store.close();
    this.record.flush();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
