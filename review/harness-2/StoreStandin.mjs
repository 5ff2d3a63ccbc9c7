import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as timers from 'node:timers';
import * as url from 'node:url';

const HISTORY_LENGTH = 5_000;

/** Stand-in for the store of the platform: items with revisions, pages and watches over HTTP. */
export class StoreStandin {
  items = new Map();

  history = [];

  revision = 100;

  /** VMs that are cut off: they get no answer. */
  cutVms = new Set();

  /** Number of calls by VM. */
  calls = new Map();

  watches = new Set();

  /** Starts listening for one VM, so that it can be cut off alone. Resolves to `HOST:PORT`. */
  listen(host, vm) {
    const server = http.createServer((request, response) => this.handleRequest(request, response, vm));
    return new Promise((resolve) => {
      server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
    });
  }

  /** Stores a value as JSON. */
  setItem(key, value) {
    this.revision += 1;
    const item = {
      key, value: buffer.Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, create_rev: this.revision, lease: 0,
    };
    this.items.set(key, item);
    this.addEvent(item);
  }

  /** Removes an item. */
  removeItem(key) {
    this.revision += 1;
    this.items.delete(key);
    this.addEvent({ key, revision: this.revision, deleted: true });
  }

  addEvent(event) {
    this.history.push(event);
    if (this.history.length > HISTORY_LENGTH) this.history.shift();
    [...this.watches].filter((watch) => event.key.startsWith(watch.prefix)).forEach((watch) => this.sendEvents(watch));
  }

  handleRequest(request, response, vm) {
    request.resume();
    if (this.cutVms.has(vm)) return;
    this.calls.set(vm, (this.calls.get(vm) ?? 0) + 1);
    const { pathname, searchParams } = new url.URL(request.url, 'http://store');
    if (pathname === '/kv-key') {
      const item = this.items.get(searchParams.get('key'));
      this.send(response, item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    } else if (pathname === '/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      this.send(response, 200, { items: found.slice(0, 500), truncated: found.length > 500, store_revision: this.revision });
    } else if (pathname === '/kv-watch') {
      const watch = {
        prefix: searchParams.get('prefix') ?? '', after: Number(searchParams.get('after')), response, vm,
      };
      watch.timer = timers.setTimeout(() => this.sendEvents(watch), Number(searchParams.get('wait_ms')));
      this.watches.add(watch);
      if (this.listEvents(watch).length > 0) this.sendEvents(watch);
    } else this.send(response, 404, {});
  }

  listEvents({ prefix, after }) {
    return this.history.filter((event) => event.revision > after && event.key.startsWith(prefix));
  }

  sendEvents(watch) {
    timers.clearTimeout(watch.timer);
    if (!this.watches.delete(watch) || this.cutVms.has(watch.vm)) return;
    this.send(watch.response, 200, { events: this.listEvents(watch), store_revision: this.revision });
  }

  send(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }
}
