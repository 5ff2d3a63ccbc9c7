import * as http from 'node:http';
import * as timers from 'node:timers';

const { Buffer, URL } = globalThis;

/** Stand-in of the platform's store: keys with revisions, pages and watches. */
export class Store {
  constructor(host) {
    this.host = host;
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.watches = new Set();
    this.server = http.createServer((request, response) => this.handle(request, response));
  }

  /** Starts to listen. Resolves to `HOST:PORT`. */
  listen() {
    return new Promise((resolve) => {
      this.server.listen(0, this.host, () => resolve(`${this.host}:${this.server.address().port}`));
    });
  }

  close() {
    this.watches.forEach((watch) => timers.clearTimeout(watch.timeout));
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as JSON. */
  write(key, value) {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      create_rev: this.items.get(key)?.create_rev ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.record(item);
  }

  /** Removes a key. */
  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.record({ key, revision: this.revision, deleted: true });
  }

  record(event) {
    this.history.push(event);
    [...this.watches].filter((watch) => event.key.startsWith(watch.prefix)).forEach((watch) => this.answerWatch(watch));
  }

  handle(request, response) {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    if (pathname === '/kv-key') {
      const item = this.items.get(query.get('key'));
      this.answer(response, item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    } else if (pathname === '/kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      this.answer(response, 200, { items: items.slice(0, 500), truncated: items.length > 500, store_revision: this.revision });
    } else if (pathname === '/kv-watch') {
      const watch = { prefix, after: Number(after), response };
      watch.timeout = timers.setTimeout(() => this.answerWatch(watch), Number(query.get('wait_ms')));
      this.watches.add(watch);
      response.once('close', () => this.endWatch(watch));
      if (this.listEvents(watch).length > 0) this.answerWatch(watch);
    } else this.answer(response, 404, {});
  }

  listEvents({ prefix, after }) {
    return this.history.filter((event) => event.revision > after && event.key.startsWith(prefix));
  }

  answerWatch(watch) {
    this.endWatch(watch);
    this.answer(watch.response, 200, { events: this.listEvents(watch), store_revision: this.revision });
  }

  endWatch(watch) {
    timers.clearTimeout(watch.timeout);
    this.watches.delete(watch);
  }

  answer(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text);
  }
}
