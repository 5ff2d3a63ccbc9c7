import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@tamarackferry/core';

import * as callMeter from './CallMeter.js';
import * as platformMode from './PlatformMode.js';
import * as publishedValue from './PublishedValue.js';

const SLOW_DELAY_MS = 2_000;
const MAX_WAIT_MS = 60_000;
const STATE_HEADER = 'tamarack-platform-state';

/** Options of a `PlatformStandin`. */
export interface PlatformStandinOptions {
  /** Port to listen on; a free one if not given. */
  readonly port?: number;
  /** Address to listen on; loopback if not given. */
  readonly host?: string;
}

interface Waiter {
  readonly value: publishedValue.PublishedValue;
  readonly after: string;
  readonly response: http.ServerResponse;
  readonly timeout: core.time.TimerSubscription;
}

/** Small stand-in for the platform: publishes a configuration text and a list of VMs over HTTP. */
export class PlatformStandin {
  private readonly server: http.Server;

  private readonly timers: core.time.TimerService = new core.time.SystemTimerService();

  private readonly configuration = new publishedValue.PublishedValue('');

  private readonly list = new publishedValue.PublishedValue('{"entries":[]}');

  private readonly meter = new callMeter.CallMeter();

  private readonly waiters = new Set<Waiter>();

  private mode: platformMode.PlatformMode = 'serving';

  // Time whose values are served; the present time unless the platform is stale.
  private frozenAtMs: number | undefined;

  /** @param options - Address to listen on. */
  constructor(private readonly options: PlatformStandinOptions = {}) {
    this.server = http.createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => this.acceptRequest(request, response, Buffer.concat(chunks).toString('utf8')));
    });
  }

  /** Starts listening on loopback, unless the options name another address, and resolves to the base URL. */
  listen(): Promise<string> {
    const host = this.options.host ?? '127.0.0.1';
    return new Promise((resolve) => {
      this.server.listen(this.options.port ?? 0, host, () => resolve(`http://${host}:${(this.server.address() as net.AddressInfo).port}`));
    });
  }

  /**
   * Publishes a configuration document.
   * @param text - Sealed text.
   */
  publishDocument(text: string): void {
    this.publish(this.configuration, text);
  }

  /**
   * Publishes the list of VMs.
   * @param entries - Entry VMs and upstream instances.
   */
  publishList(entries: readonly core.vms.ListEntry[]): void {
    this.publish(this.list, JSON.stringify({ entries }));
  }

  /**
   * Changes how the platform answers.
   * @param mode - New mode.
   */
  setMode(mode: platformMode.PlatformMode): void {
    this.mode = mode;
    this.frozenAtMs = mode === 'stale' ? this.timers.getNowMs() : undefined;
    if (mode === 'down') this.waiters.forEach((waiter) => waiter.response.destroy());
    this.answerWaiters();
  }

  /**
   * Sets the time by which the list lags.
   * @param lagMs - Time in milliseconds.
   */
  setListLagMs(lagMs: number): void {
    this.list.setLagMs(lagMs);
  }

  /** Gets the number of calls, the greatest number in one second, and the watches that are pending. */
  getCalls(): { readonly total: number; readonly peakPerSecond: number; readonly pendingWatches: number } {
    return { ...this.meter.getCounts(), pendingWatches: this.waiters.size };
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private publish(value: publishedValue.PublishedValue, text: string): void {
    value.publish(text, this.timers.getNowMs());
    this.wait(value.getLagMs(), () => this.answerWaiters());
  }

  private acceptRequest(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://platform');
    if (url.pathname.startsWith('/-/')) {
      this.answerControl(url.pathname, response, body);
      return;
    }
    this.meter.record(this.timers.getNowMs());
    const value = { '/configuration': this.configuration, '/vms': this.list }[url.pathname];
    if (this.mode === 'down') response.destroy();
    else if (value === undefined) PlatformStandin.answerStatus(response, 404);
    else this.wait(this.mode === 'slow' ? SLOW_DELAY_MS : 0, () => this.answerValue(value, url.searchParams, response));
  }

  private answerValue(value: publishedValue.PublishedValue, query: URLSearchParams, response: http.ServerResponse): void {
    const after = query.get('after');
    const current = value.getCurrent(this.getServedMs());
    if (after !== String(current.revision)) {
      response.setHeader(STATE_HEADER, current.revision);
      response.end(current.text);
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    if (!(waitMs > 0)) {
      PlatformStandin.answerStatus(response, 304);
      return;
    }
    const waiter: Waiter = {
      value,
      after,
      response,
      timeout: this.wait(waitMs, () => {
        this.waiters.delete(waiter);
        PlatformStandin.answerStatus(response, 304);
      }),
    };
    this.waiters.add(waiter);
    response.on('close', () => {
      waiter.timeout.cancel();
      this.waiters.delete(waiter);
    });
  }

  private answerWaiters(): void {
    [...this.waiters].forEach((waiter) => {
      const current = waiter.value.getCurrent(this.getServedMs());
      if (String(current.revision) === waiter.after) return;
      waiter.timeout.cancel();
      this.waiters.delete(waiter);
      waiter.response.setHeader(STATE_HEADER, current.revision);
      waiter.response.end(current.text);
    });
  }

  private answerControl(path: string, response: http.ServerResponse, body: string): void {
    const mode = platformMode.PLATFORM_MODES.find((known) => known === body.trim());
    if (path === '/-/calls') {
      response.end(JSON.stringify(this.getCalls()));
      return;
    }
    if (path === '/-/mode' && mode !== undefined) this.setMode(mode);
    else if (path === '/-/configuration') this.publishDocument(body);
    else if (path === '/-/vms') this.publish(this.list, body);
    else if (path === '/-/list-lag-ms' && /^\d+$/.test(body.trim())) this.setListLagMs(Number(body));
    else {
      PlatformStandin.answerStatus(response, 400);
      return;
    }
    PlatformStandin.answerStatus(response, 204);
  }

  private getServedMs(): number {
    return this.frozenAtMs ?? this.timers.getNowMs();
  }

  private wait(delayMs: number, next: () => void): core.time.TimerSubscription {
    if (delayMs > 0) return this.timers.subscribe({ mailbox: { post: next }, message: undefined, delayMs });
    next();
    return { cancel: () => undefined };
  }

  private static answerStatus(response: http.ServerResponse, status: number): void {
    response.statusCode = status;
    response.end();
  }
}
