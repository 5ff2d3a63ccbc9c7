import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';

import * as behaviourFactory from './BehaviourFactory.js';
import * as loadReport from './LoadReport.js';
import * as runRegister from './RunRegister.js';
import * as standinAnswer from './StandinAnswer.js';
import * as standinControl from './StandinControl.js';
import type * as upstreamBehaviour from './UpstreamBehaviour.js';
import type * as upstreamMode from './UpstreamMode.js';
import type * as upstreamStandinOptions from './UpstreamStandinOptions.js';

const COLD_FACTOR = 5;
const LEAST_COLD_RUN_MS = 50;

/** Small stand-in for one upstream instance. */
export class UpstreamStandin {
  /** Requests that ran. */
  readonly register = new runRegister.RunRegister();

  private readonly server: http.Server;

  private readonly timers: core.time.TimerService = new core.time.SystemTimerService();

  private readonly report: loadReport.LoadReport;

  private behaviour: upstreamBehaviour.UpstreamBehaviour;

  private drain: upstreamMode.DrainState = 'open';

  private usedSlots = 0;

  private startedAtMs = 0;

  private nextRequest = 0;

  /**
   * @param name - Name of the instance, part of its answers.
   * @param options - Capacity and faults.
   */
  constructor(private readonly name: string, private readonly options: upstreamStandinOptions.UpstreamStandinOptions = {}) {
    this.behaviour = behaviourFactory.createBehaviour(options.mode ?? 'prompt');
    this.report = new loadReport.LoadReport({ state: options.reports ?? 'exact', lagMs: options.reportLagMs ?? 5_000 });
    const control = new standinControl.StandinControl(this);
    this.server = http.createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        if (request.url?.startsWith('/-/') === true) control.answer(request, response, Buffer.concat(chunks).toString('utf8'));
        else this.acceptRequest(request, response);
      });
    });
  }

  /** Starts listening on loopback, unless the options name another address, and resolves to the port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(this.options.port ?? 0, this.options.host ?? '127.0.0.1', () => {
        this.startedAtMs = this.timers.getNowMs();
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /**
   * Changes how requests are served.
   * @param mode - New mode.
   */
  setMode(mode: upstreamMode.UpstreamMode): void {
    this.behaviour = behaviourFactory.createBehaviour(mode);
  }

  /**
   * Changes whether the instance takes work.
   * @param state - New state.
   */
  setDrain(state: upstreamMode.DrainState): void {
    this.drain = state;
  }

  /**
   * Changes what the health and load endpoints report.
   * @param state - New state.
   */
  setReports(state: upstreamMode.ReportState): void {
    this.report.setState(state);
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private acceptRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    response.setHeader('tamarack-load', this.report.getUsed(this.timers.getNowMs()));
    if (this.drain !== 'open') response.setHeader('tamarack-drain', 'leaving');
    const requestId = UpstreamStandin.getHeader(request, 'tamarack-request-id');
    if (requestId !== undefined) response.setHeader('tamarack-request-id', requestId);
    if (request.url === '/health' || request.url === '/load') {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ slots: this.options.slots ?? 4, used: this.report.getUsed(this.timers.getNowMs()) }));
    } else if (request.url === '/cancel') {
      if (requestId !== undefined && this.register.cancel(requestId) === 'cancelled') response.setHeader('tamarack-not-run', 'cancelled');
      response.end();
    } else {
      this.serveRequest(request, response, requestId);
    }
  }

  private serveRequest(request: http.IncomingMessage, response: http.ServerResponse, requestId: string | undefined): void {
    this.nextRequest += 1;
    const runId = requestId ?? `unnamed:${this.nextRequest}`;
    const runMs = this.behaviour.computeRunMs(this.computeServiceTimeMs());
    const deadlineMs = Number(UpstreamStandin.getHeader(request, 'tamarack-deadline-ms') ?? Infinity);
    if (this.drain === 'refusing') UpstreamStandin.refuse(response, 'draining');
    else if (this.usedSlots >= (this.options.slots ?? 4) || deadlineMs <= 0) UpstreamStandin.refuse(response, 'shed');
    else if (this.register.accept(runId) === 'cancelled') UpstreamStandin.refuse(response, 'cancelled');
    else {
      this.setUsedSlots(this.usedSlots + 1);
      this.wait(runMs, () => {
        this.setUsedSlots(this.usedSlots - 1);
        this.runRequest(request, response, { runId, requestId });
      });
    }
  }

  private runRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    ids: { readonly runId: string; readonly requestId: string | undefined },
  ): void {
    if (this.register.run(ids.runId, UpstreamStandin.getHeader(request, 'tamarack-operation-id'), request.url) === 'cancelled') {
      UpstreamStandin.refuse(response, 'cancelled');
      return;
    }
    const { behaviour } = this;
    const answer = new standinAnswer.StandinAnswer(response, { requestId: ids.requestId, body: this.buildBody(request.url ?? '/') });
    this.wait(behaviour.getAnswerDelayMs(), () => behaviour.answer(answer));
  }

  // A query `bytes=N` asks for a body of N bytes.
  private buildBody(url: string): Buffer {
    const bytes = Number(/[?&]bytes=(\d{1,9})/.exec(url)?.[1] ?? 0);
    return bytes > 0 ? Buffer.alloc(bytes, 'x') : Buffer.from(JSON.stringify({ instance: this.name, path: url }));
  }

  private computeServiceTimeMs(): number {
    const serviceTimeMs = this.options.serviceTimeMs ?? 0;
    const isCold = this.timers.getNowMs() - this.startedAtMs < (this.options.coldStartMs ?? 0);
    return isCold ? Math.max(LEAST_COLD_RUN_MS, serviceTimeMs * COLD_FACTOR) : serviceTimeMs;
  }

  private setUsedSlots(used: number): void {
    this.usedSlots = used;
    this.report.record({ atMs: this.timers.getNowMs(), used });
  }

  private wait(delayMs: number, next: () => void): void {
    if (delayMs <= 0) next();
    else this.timers.subscribe({ mailbox: { post: next }, message: undefined, delayMs });
  }

  private static refuse(response: http.ServerResponse, reason: 'shed' | 'draining' | 'cancelled'): void {
    response.statusCode = 503;
    response.setHeader('tamarack-not-run', reason);
    response.end();
  }

  private static getHeader(request: http.IncomingMessage, name: string): string | undefined {
    return request.headersDistinct[name]?.[0];
  }
}
