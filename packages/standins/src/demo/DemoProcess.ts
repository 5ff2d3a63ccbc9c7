import * as childProcess from 'node:child_process';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

import type * as demoFailure from './DemoFailure.js';

const REQUEST_TIMEOUT_MS = 2_000;
const MAX_KEPT_LOG_BYTES = 16 * 1024;

/** How a child process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Line that each binary writes when it listens. */
export interface ListeningLine {
  readonly port: number;
  readonly peerPort?: number;
}

/** Child process that listens on loopback. */
export abstract class DemoProcess {
  /** Port that the process listens on. */
  port = 0;

  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;

  private readonly child: childProcess.ChildProcess;

  private state: 'running' | 'ended' = 'running';

  private output = '';

  private log = '';

  /**
   * @param name - Name of the process in messages.
   * @param args - Script and arguments.
   */
  protected constructor(readonly name: string, args: readonly string[]) {
    this.child = childProcess.spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child.stdout?.on('data', (chunk: Buffer) => {
      this.output += chunk.toString();
    });
    this.child.stderr?.on('data', (chunk: Buffer) => {
      this.log = (this.log + chunk.toString()).slice(-MAX_KEPT_LOG_BYTES);
    });
    this.ended = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        this.state = 'ended';
        resolve({ code, signal });
      });
      this.child.once('error', (error) => {
        this.state = 'ended';
        this.log += error.message;
        resolve({ code: null, signal: null });
      });
    });
  }

  /** Waits until the process listens. */
  async waitForListening(): Promise<neverthrow.Result<this, demoFailure.DemoFailure>> {
    const line = await new Promise<string | undefined>((resolve) => {
      const readLine = (): void => {
        const end = this.output.indexOf('\n');
        if (end >= 0) resolve(this.output.slice(0, end));
      };
      this.child.stdout?.on('data', readLine);
      readLine();
      void this.ended.then(() => resolve(undefined));
    });
    if (line === undefined) return neverthrow.err({ type: 'process-ended', process: this.name, detail: this.log.trim() });
    this.acceptListening(JSON.parse(line) as ListeningLine);
    return neverthrow.ok(this);
  }

  /** Whether the process has not ended. */
  isRunning(): boolean {
    return this.state === 'running';
  }

  /** Gets the id of the process; 0 if it could not be started. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Gets the end of the standard error stream. */
  getLog(): string {
    return this.log;
  }

  /**
   * Sends a signal to the process.
   * @param signal - Signal to send.
   */
  kill(signal: NodeJS.Signals): void {
    if (this.state === 'running') this.child.kill(signal);
  }

  /**
   * Reads a JSON page of the process. Undefined if it does not answer.
   * @param path - Path of the page.
   */
  async fetchJson<Page>(path: string): Promise<Page | undefined> {
    const read = await neverthrow.ResultAsync.fromPromise(this.request('GET', path, ''), () => undefined);
    const parse = neverthrow.fromThrowable((text: string) => JSON.parse(text) as Page, () => undefined);
    return read.andThen(parse).unwrapOr(undefined);
  }

  /**
   * Sends a text to a control page of the process.
   * @param path - Path of the page.
   * @param body - Text to send.
   */
  async sendControl(path: string, body: string): Promise<void> {
    await neverthrow.ResultAsync.fromPromise(this.request('POST', path, body), () => undefined);
  }

  /**
   * Takes over the ports that the process reports.
   * @param line - Line that the process wrote.
   */
  protected acceptListening(line: ListeningLine): void {
    this.port = line.port;
  }

  private async request(method: 'GET' | 'POST', path: string, body: string): Promise<string> {
    const response = await undici.request(`http://127.0.0.1:${this.port}${path}`, {
      method, body: method === 'GET' ? null : body, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return response.body.text();
  }
}
