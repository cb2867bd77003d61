import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { JsonServer } from './http.mjs';

/** Time that a call takes, in milliseconds. */
const CALL_MS = 4;
const MAX_ENTRIES = 100;
const MAX_ROWS = 500;
const MAX_FEED_WAIT_MS = 30_000;

const idOf = ({ table, part, key }) => JSON.stringify([table, part, key]);
const keyOf = ({ table, part, key }) => ({ table, part, key });
const inByteOrder = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** The platform's transactional store, as PROTOCOL.md describes it. */
export class Store {
  #rows = new Map();
  #history = [];
  #version = 0;
  #wakeFeeds = new Set();
  #server = new JsonServer((call) => this.#handle(call));
  #rowBytes;
  /** Called with each call; may return an answer, or undefined to let the store handle it. */
  intercept = () => undefined;

  constructor({ rowBytes = 65_536 } = {}) {
    this.#rowBytes = rowBytes;
  }

  async start() {
    this.address = await this.#server.listen('127.0.0.1');
    return this.address;
  }

  stop() {
    return this.#server.close();
  }

  /** Writes a row on behalf of the operator or an executor. */
  put(table, key, value, part = '') {
    this.#apply([
      { table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64') },
    ]);
  }

  remove(table, key, part = '') {
    if (this.#rows.has(idOf({ table, part, key }))) this.#apply([], [{ table, part, key }]);
  }

  /** The decoded value of a row; undefined if there is none. */
  get(table, key, part = '') {
    const row = this.#rows.get(idOf({ table, part, key }));
    return row && Buffer.from(row.value, 'base64').toString('utf8');
  }

  #apply(writes, removes = []) {
    this.#version++;
    const ver = this.#version;
    for (const row of writes) {
      const stored = { ...keyOf(row), value: row.value, ver };
      this.#rows.set(idOf(row), stored);
      this.#history.push(stored);
    }
    for (const row of removes) {
      if (!this.#rows.delete(idOf(row))) continue;
      this.#history.push({ ...keyOf(row), value: '', ver, tombstone: true });
    }
    if (this.#history.length > 200_000) this.#history.splice(0, 100_000);
    for (const wake of this.#wakeFeeds) wake();
    return ver;
  }

  async #handle(call) {
    const intercepted = await this.intercept(call);
    if (intercepted) return intercepted.isSilent ? undefined : intercepted;
    if (call.path === '/api/rows-feed') return this.#feed(call.query);
    await sleep(CALL_MS);
    if (call.path === '/api/rows-tx') return this.#transact(call.body);
    if (call.path === '/api/rows-get') return this.#read(call.query);
    return { status: 404 };
  }

  /** Performs a transaction whose answer is lost. */
  apply({ body }) {
    return this.#transact(body);
  }

  #transact({ expectedRev = [], writes = [], remove = [] }) {
    if (expectedRev.length + writes.length + remove.length > MAX_ENTRIES) {
      return { status: 400, body: { error: 'too many entries' } };
    }
    const size = ({ value }) => Buffer.from(value ?? '', 'base64').length;
    if (writes.some((row) => size(row) > this.#rowBytes)) {
      return { status: 400, body: { error: 'a value is too large' } };
    }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) {
      return { status: 403 };
    }
    const found = expectedRev.map((row) => this.#rows.get(idOf(row)));
    const holds = expectedRev.every(({ ver }, index) => (found[index]?.ver ?? 0) === (ver ?? 0));
    const now = { ver: this.#version, nowMs: Math.round(performance.now()) };
    if (!holds) return { status: 412, body: { rows: found.filter(Boolean), ...now } };
    return { status: 200, body: { ...now, ver: this.#apply(writes, remove) } };
  }

  #read(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort(inByteOrder);
    const body = { rows: rows.slice(0, limit), hasMore: rows.length > limit };
    return {
      status: 200,
      body: { ...body, ver: this.#version, nowMs: Math.round(performance.now()) },
    };
  }

  async #feed(query) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const end = performance.now() + Math.min(MAX_FEED_WAIT_MS, Number(query.get('waitMs') ?? 0));
    while (true) {
      const rows = this.#changes(table, after);
      const leftMs = end - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return {
          status: 200,
          body: { rows, ver: this.#version, nowMs: Math.round(performance.now()) },
        };
      }
      await new Promise((resolve) => {
        const wake = () => {
          this.#wakeFeeds.delete(wake);
          resolve();
        };
        this.#wakeFeeds.add(wake);
        void sleep(leftMs).then(wake);
      });
    }
  }

  #changes(table, after) {
    const rows = [];
    for (let index = this.#history.length - 1; index >= 0; index--) {
      const row = this.#history[index];
      if (row.ver <= after) break;
      if (row.table === table) rows.push(row);
    }
    return rows.reverse();
  }
}
