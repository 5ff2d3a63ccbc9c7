import * as http from 'node:http';

import * as deployment from './Deployment.js';
import * as frontMachine from './FrontMachine.js';

/** Client that sends one request after the other on a kept connection, until it is stopped or the connection ends. */
export class KeptClient {
  constructor(tested, host, name) {
    this.tested = tested;
    this.host = host;
    this.name = name;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.state = 'sending';
    this.answers = [];
  }

  start(path, deadlineMs) {
    this.ended = this.run(path, deadlineMs);
  }

  async run(path, deadlineMs) {
    /* eslint-disable no-await-in-loop */
    while (this.state === 'sending') {
      const answer = await this.tested.client.sendRequest({
        host: this.host,
        port: frontMachine.PORTS.front,
        hostName: deployment.HOST_NAME,
        path,
        deadlineMs,
        agent: this.agent,
        name: this.name,
      });
      this.answers.push(answer);
      if (answer.status === 0) return;
    }
    /* eslint-enable no-await-in-loop */
  }

  /** Stops sending and resolves to all answers. */
  async stop() {
    this.state = 'stopped';
    await this.ended;
    this.agent.destroy();
    return this.answers;
  }
}
