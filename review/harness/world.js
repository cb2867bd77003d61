// Stand-ins of the platform, the executors and the clients for the scripts of the review, written
// after PROTOCOL.md and DEPLOY.md. The nodes are the deployed program, one process each, started with
// the command of the deploy file.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds as in the sheet of marsad-night. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  recoveryS: 12,
  maxHoldMs: 6000,
  stopMs: 400,
  gangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  remoteSlowdown: 2,
  checkpointS: 1,
  restoreMs: 250,
  noticeMs: 4500,
  moveS: 1.5,
  maintenanceS: 2,
  requireFencing: false,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  harmMs: 4000,
};
const HEARTBEAT_MS = 1500;
/** Time until the store and the executors answer. */
const STORE_MS = 4;
const MAX_ROWS = 500;
const MAX_ENDS = 500;

export const isTroubled = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Thrown when a case cannot run; the script then exits with 2. */
export class CannotRun extends Error {}

/** Waits until a check returns a value; gives up after `limitMs`. */
export async function waitFor(what, check, limitMs = 20_000) {
  const end = performance.now() + limitMs;
  while (performance.now() < end) {
    const value = await check();
    if (value) return value;
    await sleep(20);
  }
  throw new CannotRun(`gave up waiting until ${what}`);
}

/** Writes what was sent, answered and run to record.txt in the folder of the case. */
class Recorder {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.path, '');
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(text) {
    const at = this.now();
    appendFileSync(this.path, `${(at / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
    return at;
  }
}

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

function send(res, status, body) {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Starts an HTTP server on a free loopback port, or on the given one; returns its address. */
async function serve(handle, port = 0) {
  const server = createServer((req, res) => {
    handle(req, res).catch((err) => {
      process.stderr.write(`stand-in: ${err.stack}\n`);
      res.destroy();
    });
  });
  server.keepAliveTimeout = 15_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return { server, address: `127.0.0.1:${server.address().port}` };
}

/** The platform's metadata store. */
class Store {
  constructor() {
    this.rows = new Map();
    this.history = [];
    this.ver = 1;
    this.waiters = new Set();
    /** Whether the answer to a transaction that was applied is lost. */
    this.losesAnswer = () => false;
  }

  static id({ table, part, key }) {
    return `${table}\n${part}\n${key}`;
  }

  /** Writes or removes rows in one transaction without conditions. */
  apply(writes, removes = []) {
    this.ver++;
    for (const { table, part, key, value } of writes) {
      const row = { table, part, key, value, ver: this.ver };
      this.rows.set(Store.id(row), row);
      this.history.push(row);
    }
    for (const { table, part, key } of removes) {
      if (!this.rows.delete(Store.id({ table, part, key }))) continue;
      this.history.push({ table, part, key, ver: this.ver, tombstone: true });
    }
    for (const wake of [...this.waiters]) wake();
    return this.ver;
  }

  put(table, key, object) {
    const value = Buffer.from(JSON.stringify(object), 'utf8').toString('base64');
    return this.apply([{ table, part: '', key, value }]);
  }

  remove(table, key) {
    this.apply([], [{ table, part: '', key }]);
  }

  read(table, part, key) {
    const row = this.rows.get(Store.id({ table, part, key }));
    return row && Buffer.from(row.value, 'base64').toString('utf8');
  }

  common() {
    return { ver: this.ver, nowMs: Math.round(performance.now()) };
  }

  async handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const body = req.method === 'POST' ? await readJson(req) : {};
    await sleep(STORE_MS);
    if (url.pathname === '/api/rows-tx') {
      this.transact(body, res);
      return;
    }
    if (url.pathname === '/api/rows-get') {
      const from = query.get('from') ?? '';
      const to = query.get('to');
      const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
      const found = [...this.rows.values()]
        .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
        .filter(({ key }) => key >= from && (to === null || key < to))
        .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
      send(res, 200, {
        rows: found.slice(0, limit),
        hasMore: found.length > limit,
        ...this.common(),
      });
      return;
    }
    if (url.pathname === '/api/rows-parts') {
      const rows = [...this.rows.values()].filter(({ table }) => table === query.get('table'));
      const parts = [...new Set(rows.map(({ part }) => part))].sort();
      send(res, 200, { parts, ...this.common() });
      return;
    }
    if (url.pathname === '/api/rows-feed') {
      await this.feed(query, res);
      return;
    }
    send(res, 404, {});
  }

  transact({ expectedRev = [], writes = [], remove = [] }, res) {
    const all = [...expectedRev, ...writes, ...remove];
    if (all.length > 100 || new Set(all.map(({ part }) => part)).size > 1) {
      send(res, 400, {});
      return;
    }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) {
      send(res, 403, {});
      return;
    }
    if (writes.some(({ value }) => Buffer.from(value, 'base64').length > 65_536)) {
      send(res, 400, {});
      return;
    }
    const current = (row) => this.rows.get(Store.id(row));
    if (expectedRev.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      send(res, 412, { rows: expectedRev.map(current).filter(Boolean), ...this.common() });
      return;
    }
    this.apply(writes, remove);
    // A channel on which a response is lost delivers nothing further.
    if (this.losesAnswer(writes)) return;
    send(res, 200, this.common());
  }

  async feed(query, res) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const end = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    for (;;) {
      const changed = this.history.filter((row) => row.table === table && row.ver > after);
      const leftMs = end - performance.now();
      if (changed.length > 0 || leftMs <= 0 || res.destroyed) {
        send(res, 200, { rows: changed, ...this.common() });
        return;
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }
}

/**
 * A proxy in front of an executor, which stands for the network of its machine. While the machine is
 * dark, nothing passes: what is sent on a channel from before is lost, and new channels are set up
 * when the machine is back, as the network repeats their opening packets.
 */
class Proxy {
  constructor(machine) {
    this.machine = machine;
    this.isDark = false;
    this.waiting = [];
    this.pairs = new Set();
  }

  async listen() {
    const server = createTcpServer((socket) => {
      socket.on('error', () => socket.destroy());
      if (this.isDark) this.waiting.push(socket.pause());
      else this.join(socket);
    });
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${server.address().port}`;
  }

  join(socket) {
    const inner = connect(this.machine.port, '127.0.0.1');
    inner.setNoDelay(true);
    const pair = { socket, inner };
    this.pairs.add(pair);
    inner.on('error', () => inner.destroy());
    socket.pipe(inner, { end: false });
    inner.pipe(socket, { end: false });
    inner.on('close', () => {
      if (this.pairs.delete(pair)) socket.destroy();
    });
    socket.on('close', () => {
      this.pairs.delete(pair);
      inner.destroy();
    });
  }

  goDark() {
    this.isDark = true;
    for (const { socket, inner } of this.pairs) {
      socket.unpipe(inner);
      inner.unpipe(socket);
      inner.destroy();
      // After the return, the new process knows nothing of the channel and resets it.
      socket.on('data', () => {
        if (!this.isDark) socket.resetAndDestroy();
      });
    }
    this.pairs.clear();
  }

  return() {
    this.isDark = false;
    for (const socket of this.waiting.splice(0)) this.join(socket);
  }
}

/** One machine of a pool with its executor, which crashes and starts again as a new incarnation. */
class Machine {
  constructor(world, { name, service, labels, capacity }) {
    this.world = world;
    this.name = name;
    this.service = service;
    this.labels = labels;
    this.capacity = capacity;
    this.lives = 0;
    this.port = 0;
    this.isUp = false;
  }

  /** @param keepsId - whether the executor starts again under the id that it had */
  async start({ keepsId = false } = {}) {
    this.lives++;
    if (!keepsId) this.id = `i-${this.name}-${this.lives}`;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.runs = new Map();
    this.highest = new Map();
    this.finished = [];
    this.lastEnd = 0;
    this.fence = 0;
    this.leaseEnd = 0;
    this.waiters = new Set();
    this.seqNo = 0;
    const { server, address } = await serve((req, res) => this.handle(req, res), this.port);
    this.server = server;
    this.port = server.address().port;
    if (this.world.isProxied && !this.proxy) {
      this.proxy = new Proxy(this);
      await this.proxy.listen();
    }
    this.address = this.proxy?.address ?? address;
    this.isUp = true;
    this.proxy?.return();
    this.register();
    this.world.record.add(`executor ${this.id} of ${this.service} starts`);
  }

  register() {
    this.seqNo++;
    this.beatAt = performance.now();
    this.world.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      seqNo: this.seqNo,
      capacity: this.capacity,
      labels: this.labels,
      born: this.born,
    });
  }

  /** Ends the process: its channels are reset, or silent; everything that ran here is gone. */
  crash({ isDark = false } = {}) {
    const { record, store } = this.world;
    const how = isDark ? 'crashes and is silent' : 'crashes';
    record.add(`executor ${this.id} of ${this.service} ${how}, with ${this.runs.size} runs`);
    this.isUp = false;
    if (isDark) this.proxy.goDark();
    const { id } = this;
    for (const run of this.runs.values()) this.drop(run, 'gone');
    this.runs.clear();
    for (const wake of [...this.waiters]) wake();
    this.server.close();
    this.server.closeAllConnections();
    const silentMs = performance.now() - this.beatAt;
    setTimeout(
      () => {
        if (!this.isUp || this.id !== id) store.remove('servers', id);
      },
      Math.max(0, 3 * HEARTBEAT_MS - silentMs),
    ).unref();
  }

  clockMs() {
    return Math.round(performance.now() - this.startedAt) + 1;
  }

  drop(run, how) {
    clearTimeout(run.timer);
    run.entry.endedAt = this.world.record.now();
    run.entry.how = how;
    this.world.record.add(`${this.id}: run ${run.run} of ${run.task} ends: ${how}`);
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    this.drop(run, how);
    this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0));
    this.finished.push([++this.lastEnd, run.task, run.run, how, '']);
    for (const wake of [...this.waiters]) wake();
  }

  extend(untilMs) {
    if (typeof untilMs !== 'number') return;
    const now = this.clockMs();
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(untilMs, now + BOUNDS.maxHoldMs));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => {
        if (this.isUp) for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
      },
      Math.max(0, this.leaseEnd - now),
    );
    this.leaseTimer.unref();
  }

  async handle(req, res) {
    const body = await readJson(req);
    await sleep(1);
    const target = req.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) {
      send(res, 421, { clockMs: this.clockMs() });
      return;
    }
    const fence = body.fencingToken ?? 0;
    if (fence < this.fence) {
      send(res, 409, { clockMs: this.clockMs(), reason: 'fence' });
      return;
    }
    this.fence = fence;
    if (req.url === '/api/run-start') this.startRun(body, res);
    else if (req.url === '/api/run-stop') this.stopRun(body, res);
    else if (req.url === '/api/hold') await this.hold(body, res);
    else if (req.url === '/api/pace') send(res, 200, { clockMs: this.clockMs() });
    else send(res, 404, {});
  }

  startRun({ task, run, spec, untilMs }, res) {
    const refuse = (reason) => {
      send(res, 409, { clockMs: this.clockMs(), reason });
    };
    if (!(untilMs > this.clockMs())) {
      refuse('late');
      return;
    }
    if (this.runs.get(task)?.run === run) {
      this.extend(untilMs);
      send(res, 200, { clockMs: this.clockMs() });
      return;
    }
    this.extend(untilMs);
    if (this.runs.has(task) || run <= (this.highest.get(task) ?? 0)) {
      refuse('old');
      return;
    }
    const needs = this.world.needsOf(task);
    const used = [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
    if (needs.cpu + used > this.capacity.cpu) {
      refuse('room');
      return;
    }
    const entry = { task, run, executor: this.id, service: this.service };
    entry.startedAt = this.world.record.add(`${this.id}: run ${run} of ${task} starts`);
    this.world.runs.push(entry);
    const active = { task, run, spec, cpu: needs.cpu, entry, at: performance.now() };
    this.runs.set(task, active);
    const { ms, how } = this.world.script(entry);
    if (Number.isFinite(ms)) active.timer = setTimeout(() => this.end(active, how ?? 'done'), ms);
    send(res, 200, { clockMs: this.clockMs() });
    this.world.onStart(entry, this);
  }

  stopRun({ task, run }, res) {
    const active = this.runs.get(task);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    if (active?.run === run && !active.isStopping) {
      active.isStopping = true;
      clearTimeout(active.timer);
      active.timer = setTimeout(() => this.end(active, 'stopped'), BOUNDS.stopMs / 2);
    }
    send(res, 200, { clockMs: this.clockMs() });
  }

  async hold({ ackedUpto = 0, untilMs, waitMs = 0 }, res) {
    const { id } = this;
    for (const [number, task, run] of this.finished) {
      if (number > ackedUpto) continue;
      const entry = this.world.runs.findLast(
        (other) => other.task === task && other.run === run && other.executor === id,
      );
      if (entry) entry.notedAt ??= this.world.record.now();
    }
    this.finished = this.finished.filter(([number]) => number > ackedUpto);
    this.extend(untilMs);
    if (this.finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2_000, waitMs));
        this.waiters.add(wake);
      });
    }
    if (!this.isUp || this.id !== id) return;
    const running = [...this.runs.values()].map(({ task, run, at, cpu }) => {
      return [task, run, '', performance.now() - at > 100 ? 100 : 50, cpu];
    });
    const finished = this.finished.slice(0, MAX_ENDS);
    send(res, 200, { clockMs: this.clockMs(), born: this.born, running, finished });
  }
}

/** A small deployment: one zone, a few nodes, a store, a cloud and pools of executors. */
export class World {
  constructor(folder) {
    this.record = new Recorder(folder);
    this.store = new Store();
    this.nodes = [];
    this.machines = [];
    /** All runs that executors have begun. */
    this.runs = [];
    this.submissions = new Map();
    /** How long a run takes, and how it ends. */
    this.script = () => ({ ms: 500 });
    this.onStart = () => undefined;
    /** Whether the executors are reached through proxies. */
    this.isProxied = false;
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.servers = [];
  }

  needsOf(task) {
    const [id, , step] = task.split('.');
    return { cpu: this.submissions.get(id)?.steps[Number(step)]?.cpu ?? 0 };
  }

  async start({ nodes, pools, routes }) {
    const { server, address } = await serve((req, res) => this.store.handle(req, res));
    this.servers.push(server);
    this.storeAddress = address;
    const cloud = await serve((req, res) => this.handleCloud(req, res));
    this.servers.push(cloud.server);
    this.cloudAddress = cloud.address;
    this.services = Object.keys(pools);
    for (const [service, count] of Object.entries(pools)) {
      for (let index = 0; index < count; index++) {
        const machine = new Machine(this, {
          name: `${service}${index}`,
          service,
          labels: ['a', `r${1 + (index >> 2)}`],
          capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
        });
        await machine.start();
        this.machines.push(machine);
      }
    }
    setInterval(() => {
      for (const machine of this.machines) if (machine.isUp) machine.register();
    }, HEARTBEAT_MS).unref();
    this.configure(1, routes);
    for (let index = 0; index < nodes; index++) await this.startNode(index);
    for (const node of this.nodes) {
      await waitFor(`${node.name} is ready`, async () => {
        return (await this.call(node, 'GET', '/api/ready', { port: 'ready' })).status === 200;
      });
    }
    for (const { pathPrefix, host } of routes) {
      for (const node of this.nodes) {
        await waitFor(`${node.name} counts ${pathPrefix}`, async () => {
          return (await this.call(node, 'GET', pathPrefix, { host })).status === 200;
        });
      }
    }
    // The machines have been in touch for `stableWindowMs` and all executors have been reached.
    await sleep(BOUNDS.stableWindowMs + 1_000);
    this.record.add('the deployment is up');
  }

  /** The operator writes a configuration; returns when it was acknowledged. */
  configure(version, routes) {
    this.store.put('op', 'config', {
      version,
      routes: routes.map((route) => ({
        priority: 0,
        maxAttempts: 3,
        stretch: 1.6,
        targetDurationMs: 600,
        ...route,
      })),
      services: this.services.map((name) => ({ name, admissionControl: true, standby: false })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000 },
    });
    const text = routes.map(({ name, host, pathPrefix, service }) => {
      return `${name}: ${host}${pathPrefix} -> ${service}`;
    });
    return this.record.add(`operator: version ${version} is acknowledged: ${text.join('; ')}`);
  }

  async handleCloud(req, res) {
    await sleep(STORE_MS);
    if (!req.url.startsWith('/api/machines')) {
      send(res, 429, {});
      return;
    }
    const machines = this.machines.map(({ name, service, labels, capacity, isUp, id }) => ({
      machine: name,
      pool: service,
      state: isUp ? 'up' : 'down',
      zone: 'zone-a',
      labels,
      capacity,
      id: isUp ? id : '',
    }));
    send(res, 200, { machines, nextToken: '' });
  }

  async startNode(index) {
    const { pid } = process;
    const ip = `127.${1 + ((pid >> 8) % 250)}.${1 + (pid % 250)}.${10 + index}`;
    const [front, ready, control, peers] = await freePorts(ip, 4);
    const name = `front-zone-a-${index + 1}`;
    const settings = {
      nodeName: name,
      role: 'entry',
      machineClass: 'front',
      serves: ['front'],
      ip,
      zone: 'zone-a',
      region: 'region',
      portRange: [peers, peers],
      seeds: [],
      bootstrap: true,
      inFaultBudget: false,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: HEARTBEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'platform', 'sharing'],
      orders: 'call',
      advice: '',
      zones: { 'zone-a': 'region' },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      faultTolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: {
        address: this.storeAddress,
        form: 'table',
        writesPerS: 600,
        readsPerS: 2000,
        txMs: 3,
        partWritesS: 300,
        rowBytes: 65_536,
        across: true,
        historyS: 20,
        blobBytes: 8_388_608,
        blobMs: 25,
        blobMbS: 80,
      },
      cloud: { address: this.cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64 },
    };
    const path = join(this.dir, `${name}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const [command, ...args] = deployCommand();
    const env = { BURDOCKNOTCH_CONFIG: path, PATH: process.env.PATH, HOME: this.dir };
    const child = spawn(command === 'node' ? process.execPath : command, args, { cwd: ROOT, env });
    const node = { name, ip, front, ready, child, output: '' };
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => {
        node.output += chunk.toString('utf8');
      });
    }
    this.nodes.push(node);
    this.record.add(`node ${name} is started, process ${child.pid}`);
  }

  /** Sends a request to a node; its status is 0 if there was no answer. */
  call(node, method, path, { host = 'example', body, port = 'front', timeoutMs = 3_000 } = {}) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers = { Host: host, 'X-Deadline-Ms': String(timeoutMs) };
    if (text !== undefined) headers['Content-Type'] = 'application/json';
    return new Promise((resolve) => {
      const options = { host: node.ip, port: node[port], method, path, headers, agent: false };
      const req = request({ ...options, timeout: timeoutMs }, (res) => {
        readJson(res).then(
          (answer) => resolve({ status: res.statusCode, body: answer }),
          () => resolve({ status: res.statusCode, body: {} }),
        );
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve({ status: 0, body: {} }));
      req.end(text);
    });
  }

  /** A request of a client, with its answer in the record. */
  async client(node, method, path, options = {}) {
    this.record.add(`client: ${method} ${path} to ${node.name}`);
    const answer = await this.call(node, method, path, options);
    const text = JSON.stringify(answer.body);
    const at = this.record.add(
      `client: ${method} ${path} to ${node.name}: ${answer.status || 'no answer'} ${text}`,
    );
    return { ...answer, at };
  }

  async submit(node, route, id, steps) {
    this.submissions.set(id, { steps });
    const body = { spec: `work of ${id}`, steps };
    return this.client(node, 'POST', `${route.pathPrefix}${id}`, { host: route.host, body });
  }

  runsOf(id) {
    return this.runs.filter(({ task }) => task.startsWith(`${id}.`));
  }

  async stop() {
    for (const { child } of this.nodes) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    }
    if (process.env.KEEP_LOGS) {
      for (const { name, output } of this.nodes)
        writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), output);
    }
    rmSync(this.dir, { recursive: true, force: true });
  }
}

/** The command of the role `entry` in the deploy file. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new CannotRun('deploy/system.toml has no line `run`');
  return run.split(' ').filter((word) => word !== '');
}

async function freePorts(ip, count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createTcpServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ip, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}

/**
 * Runs a case: `play` returns the list of breaches. Exits with 1 if there are any, with 0 if the rule
 * held, and with 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const world = new World(folder);
  const limit = setTimeout(() => {
    world.record.add('the case took too long');
    world.stop().finally(() => process.exit(2));
  }, 110_000);
  limit.unref();
  let code = 2;
  try {
    const breaches = await play(world);
    for (const breach of breaches) world.record.add(`BROKEN ${breach}`);
    if (breaches.length === 0) world.record.add('the rule held');
    process.stdout.write(breaches.length === 0 ? 'held\n' : `broken: ${breaches.join('\n  ')}\n`);
    code = breaches.length === 0 ? 0 : 1;
  } catch (err) {
    world.record.add(`the case could not run: ${err.stack}`);
    process.stdout.write(`could not run: ${err.message}\n`);
  }
  await world.stop();
  process.exit(code);
}
