import * as timers from 'node:timers';

import * as deployment from './Deployment.js';
import * as frontMachine from './FrontMachine.js';

const LOOKUP_INTERVAL_MS = 500;

/** Clients of one zone: ask its machines where to connect, and send each request on a new connection to one of the addresses. */
export class DirectoryClient {
  constructor(tested, zone, prefix) {
    this.tested = tested;
    this.zone = zone;
    this.prefix = prefix;
    this.addresses = [];
    this.answers = [];
    this.sent = 0;
  }

  async start(intervalMs) {
    await this.updateAddresses();
    this.timers = [
      timers.setInterval(() => this.updateAddresses(), LOOKUP_INTERVAL_MS),
      timers.setInterval(() => this.sendNext(), intervalMs),
    ];
  }

  /** Stops sending and resolves to all answers. */
  async stop() {
    this.timers.forEach((timer) => timers.clearInterval(timer));
    return Promise.all(this.answers);
  }

  async updateAddresses() {
    const { machines, client } = this.tested;
    const hosts = machines.filter((machine) => machine.options.zone === this.zone).map((machine) => machine.options.host);
    const answers = await Promise.all(hosts.map((host) => client.fetchAnswer({
      host,
      port: frontMachine.PORTS.directory,
      path: `/resolution?name=${deployment.HOST_NAME}&region=osrednja&zone=${this.zone}`,
      headers: {},
      timeoutMs: 1_000,
    })));
    const answer = answers.find(({ status }) => status === 200);
    if (answer !== undefined) this.addresses = JSON.parse(answer.body).addresses.map((address) => address.split(':')[0]);
  }

  sendNext() {
    this.sent += 1;
    this.answers.push(this.tested.client.sendRequest({
      host: this.addresses[this.sent % this.addresses.length],
      port: frontMachine.PORTS.front,
      hostName: deployment.HOST_NAME,
      path: `${this.prefix}${this.sent}`,
    }));
  }
}
