import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { JsonServer } from './http.mjs';

const idOf = ({ table, part, key }) => `${table}\n${part}\n${key}`;
const byKey = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** The platform's metadata store, as PROTOCOL.md describes it. */
export class Store {
  rowBytes = 65_536;
  /** Time that each answer takes, in milliseconds. */
  answerMs = 4;
  /** Called with the node and the body before a transaction is carried out; may be asynchronous. */
  beforeTransaction = () => undefined;
  /** Called with the node, the body and the answer after a transaction, before it is answered. */
  afterTransaction = () => undefined;
  #rows = new Map();
  #history = [];
  #ver = 0;
  #waiting = new Set();
  #servers = [];

  /** Opens a path to the store for one node; returns its address. */
  async openPath(node) {
    const server = new JsonServer((call) => this.#answer(node, call));
    this.#servers.push(server);
    return server.listen();
  }

  close() {
    for (const server of this.#servers) server.crash();
  }

  /** Writes a row as the operator or an executor. */
  put(table, key, value) {
    const row = {
      table,
      part: '',
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
    };
    this.#apply([row], []);
  }

  drop(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  /** Decoded values of a table by key. */
  values(table) {
    const rows = [...this.#rows.values()].filter((row) => row.table === table);
    return new Map(rows.map((row) => [row.key, decode(row.value)]));
  }

  #apply(writes, removes) {
    const ver = ++this.#ver;
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, ver };
      this.#rows.set(idOf(row), row);
      this.#history.push(row);
    }
    for (const { table, part, key } of removes) {
      if (!this.#rows.delete(idOf({ table, part, key }))) continue;
      this.#history.push({ table, part, key, value: '', ver, tombstone: true });
    }
    for (const wake of this.#waiting) wake();
  }

  async #answer(node, { method, url, body }) {
    const path = url.pathname;
    if (path === '/api/rows-tx' && method === 'POST') {
      await this.beforeTransaction(node, body);
      const reply = this.#transact(body ?? {});
      await this.afterTransaction(node, body, reply);
      await sleep(this.answerMs);
      return reply;
    }
    if (path === '/api/rows-get') {
      const reply = this.#get(url.searchParams);
      await sleep(this.answerMs);
      return reply;
    }
    if (path === '/api/rows-feed') {
      const reply = await this.#feed(url.searchParams);
      await sleep(this.answerMs);
      return reply;
    }
    return { status: 404 };
  }

  #transact({ expectedRev = [], writes = [], remove = [] }) {
    const all = [...expectedRev, ...writes, ...remove];
    if (all.length > 100) return { status: 400, body: { error: 'entries' } };
    if (new Set(all.map(({ part }) => part)).size > 1)
      return { status: 400, body: { error: 'parts' } };
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers'))
      return { status: 403 };
    if (writes.some(({ value }) => Buffer.from(value, 'base64').length > this.rowBytes))
      return { status: 400, body: { error: 'rowBytes' } };
    const verOf = (row) => this.#rows.get(idOf(row))?.ver ?? 0;
    if (expectedRev.some((row) => verOf(row) !== row.ver)) {
      const rows = expectedRev.map((row) => this.#rows.get(idOf(row))).filter(Boolean);
      return { status: 412, body: { rows, ver: this.#ver, nowMs: nowMs() } };
    }
    this.#apply(writes, remove);
    return { status: 200, body: { ver: this.#ver, nowMs: nowMs() } };
  }

  #get(query) {
    const [table, part, from, to] = ['table', 'part', 'from', 'to'].map((name) => query.get(name));
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === (part ?? ''))
      .filter(({ key }) => (from === null || key >= from) && (to === null || key < to))
      .sort(byKey);
    const page = rows.slice(0, limit);
    const hasMore = rows.length > page.length;
    return { status: 200, body: { rows: page, hasMore, ver: this.#ver, nowMs: nowMs() } };
  }

  async #feed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const end = performance.now() + Number(query.get('waitMs') ?? 0);
    for (;;) {
      const rows = this.#history.filter((row) => row.table === table && row.ver > after);
      const leftMs = end - performance.now();
      if (rows.length > 0 || leftMs <= 0)
        return { status: 200, body: { rows, ver: this.#ver, nowMs: nowMs() } };
      await new Promise((resolve) => {
        const timer = globalThis.setTimeout(done, leftMs);
        const waiting = this.#waiting;
        function done() {
          globalThis.clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
    }
  }
}

const nowMs = () => Math.floor(performance.now());

function decode(value) {
  try {
    return JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
  } catch {
    return undefined;
  }
}
