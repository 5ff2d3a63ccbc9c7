import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as timers from 'node:timers';
import * as nodeUrl from 'node:url';

import * as clock from './clock.js';

const PAGE_ITEMS = 500;

/**
 * Stand-in for the metadata store: one revision counter, items, pages and watches. While it is `silent` it answers no call, and a
 * connection on which an answer was left out returns nothing further.
 */
export class StoreStandin {
  constructor(record) {
    this.record = record;
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.mode = 'serving';
    this.watches = new Set();
    // Called for each call that is received, with its time.
    this.onCall = () => undefined;
    this.server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => this.handleCall(request, response));
    this.sockets = new Set();
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  listen(host) {
    return new Promise((resolve) => {
      this.server.listen(0, host, () => resolve(`${host}:${this.server.address().port}`));
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  setMode(mode) {
    this.mode = mode;
    this.record.write(`store: ${mode}`);
    if (mode === 'serving') return;
    // Calls that wait now lose their answers.
    this.watches.forEach((watch) => {
      timers.clearTimeout(watch.timer);
      StoreStandin.markSilent(watch.response);
    });
    this.watches.clear();
  }

  /** Lets all open connections go silent for good, without a reset. New ones work. */
  cutOpenConnections() {
    this.record.write(`store    ${this.sockets.size} open connections go silent`);
    this.sockets.forEach((socket) => {
      // eslint-disable-next-line no-param-reassign
      socket.isSilent = true;
    });
    this.watches.forEach((watch) => timers.clearTimeout(watch.timer));
    this.watches.clear();
  }

  /** Writes an item and returns the time of the acknowledgement. */
  setItem(key, value) {
    this.revision += 1;
    const item = {
      key,
      value: buffer.Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      create_rev: this.items.get(key)?.create_rev ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    return this.recordEvent(item);
  }

  removeItem(key) {
    this.revision += 1;
    this.items.delete(key);
    return this.recordEvent({ key, revision: this.revision, deleted: true });
  }

  recordEvent(event) {
    this.history.push(event);
    [...this.watches].filter((watch) => event.key.startsWith(watch.prefix)).forEach((watch) => this.answerWatch(watch));
    return clock.getNowMs();
  }

  handleCall(request, response) {
    request.resume();
    const url = new nodeUrl.URL(request.url, 'http://store');
    this.onCall(request.socket.remoteAddress, url.pathname);
    if (this.mode === 'silent' || request.socket.isSilent === true) {
      StoreStandin.markSilent(response);
      return;
    }
    const query = url.searchParams;
    if (url.pathname === '/kv-key') {
      const item = this.items.get(query.get('key'));
      StoreStandin.answer(response, item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    } else if (url.pathname === '/kv-range') this.answerPage(query, response);
    else if (url.pathname === '/kv-watch') this.beginWatch(query, response);
    else StoreStandin.answer(response, 404, {});
  }

  answerPage(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()].filter((item) => item.key.startsWith(prefix) && item.key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    StoreStandin.answer(response, 200, {
      items: found.slice(0, PAGE_ITEMS), truncated: found.length > PAGE_ITEMS, store_revision: this.revision,
    });
  }

  beginWatch(query, response) {
    const watch = { prefix: query.get('prefix') ?? '', after: Number(query.get('after')), response };
    watch.timer = timers.setTimeout(() => this.answerWatch(watch), Number(query.get('wait_ms')));
    this.watches.add(watch);
    if (this.listEvents(watch).length > 0) this.answerWatch(watch);
  }

  listEvents(watch) {
    return this.history.filter((event) => event.revision > watch.after && event.key.startsWith(watch.prefix));
  }

  answerWatch(watch) {
    timers.clearTimeout(watch.timer);
    if (!this.watches.delete(watch)) return;
    StoreStandin.answer(watch.response, 200, { events: this.listEvents(watch), store_revision: this.revision });
  }

  static markSilent(response) {
    if (response.socket !== null) response.socket.isSilent = true;
  }

  static answer(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }
}
