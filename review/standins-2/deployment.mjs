import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { Fleet } from './executors.mjs';
import { send } from './http.mjs';
import { Record } from './record.mjs';
import { Store } from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Ports of each process; each has a loopback address of its own. */
const PORTS = { front: 7_801, ready: 7_802, peers: 7_810 };
/** Delay until a process that has ended starts again. */
const RESTART_MS = 500;
const SCRIPT_LIMIT_MS = 115_000;

/** Exit codes of a script. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 };

/** Thrown when a case could not run, which says nothing about the rule. */
export class NotRunError extends Error {}

/** The command `run` of the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)?.[1];
  if (command === undefined) throw new NotRunError('the deploy file has no command');
  return command.split(' ');
}

/** Stand-ins of the platform, and the deployed program as separate processes. */
export class Deployment {
  record;
  store = new Store();
  cloud = new Cloud();
  fleet;
  nodes = [];
  /** Bounds of the site; those of qalamgah-prod unless a case gives others. */
  bounds = {
    stableWindowMs: 3000,
    ackMs: 4000,
    drainMs: 2000,
    graceS: 6,
    configApplyMs: 2000,
    maxHoldMs: 6000,
    stopMs: 900,
    gangTimeoutMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    remoteSlowdown: 3,
    checkpointS: 0.5,
    restoreMs: 600,
    noticeMs: 4500,
    moveS: 1.5,
    maintenanceS: 2,
    requireFencing: false,
    leaseMs: 3000,
  };
  /** `admissionControl` of the services. */
  hasAdmissionControl = true;
  contracts = [
    'base',
    'drain',
    'config',
    'cost',
    'recover',
    'sched',
    'platform',
    'advice',
    'upkeep',
    'sharing',
  ];
  /** Whether the platform starts a process that has ended again, as DEPLOY.md has it. */
  restartsProcesses = false;
  /** Names of the processes that have ended by themselves. */
  ownEnds = [];
  #isClosing = false;
  #dir = mkdtempSync(join(tmpdir(), 'review-2-'));
  #command = readRunCommand();
  #cloudAddress;

  constructor(record) {
    this.record = record;
    this.fleet = new Fleet(this.store, record);
  }

  async open() {
    this.#cloudAddress = await this.cloud.open();
  }

  /** Writes a configuration as the operator; the store's answer is its ack. */
  configure(version, routes, services) {
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000 };
    const settings = { priority: 0, maxAttempts: 4, stretch: 1.6, targetDurationMs: 600 };
    this.store.put('op', 'config', {
      version,
      routes: routes.map((route) => ({ ...settings, ...route })),
      services: services.map((name) => {
        return { name, admissionControl: this.hasAdmissionControl, standby: false };
      }),
      limits,
    });
    const where = routes.map(({ pathPrefix, service }) => `${pathPrefix} to ${service}`);
    this.record.add(`the operator's configuration ${version} is acknowledged: ${where.join(', ')}`);
  }

  /** Starts one process of the deployed program. */
  async startNode(name, zone = 'zone-a') {
    const number = this.nodes.length + 2;
    const ip = `127.${100 + ((process.pid >> 8) & 0x7f)}.${process.pid & 0xff}.${number}`;
    const settings = join(this.#dir, `${name}.json`);
    const listen = { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` };
    const fields = {
      nodeName: name,
      role: 'entry',
      machineClass: 'front',
      serves: ['front'],
      ip,
      zone,
      region: 'region',
      portRange: [PORTS.peers, PORTS.peers + 15],
      seeds: [],
      bootstrap: true,
      heartbeatMs: 1500,
      contracts: this.contracts,
      orders: 'call',
      listen,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
      bounds: this.bounds,
      platform: {
        address: await this.store.openPath(name),
        form: 'table',
        writesPerS: 600,
        readsPerS: 2000,
        rowBytes: 65_536,
        across: true,
        historyS: 20,
      },
      cloud: { address: this.#cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64 },
    };
    writeFileSync(settings, JSON.stringify(fields));
    const node = { name, ip, settings, address: listen.front, ready: listen.ready, output: '' };
    this.#spawn(node);
    this.nodes.push(node);
    return node;
  }

  #spawn(node) {
    const [program, ...args] = this.#command;
    const { PATH, HOME } = process.env;
    const env = { PATH, HOME, BURDOCKNOTCH_CONFIG: node.settings };
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env });
    Object.assign(node, { child, hasEnded: false });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => {
        node.output += chunk.toString('utf8');
      });
    }
    child.once('exit', (code, signal) => {
      node.hasEnded = true;
      this.record.add(`process ${node.name} ends: code ${code}, signal ${signal}`);
      if (!this.restartsProcesses || this.#isClosing) return;
      this.ownEnds.push(node.name);
      globalThis.setTimeout(() => {
        if (this.#isClosing) return;
        this.record.add(`the platform starts ${node.name} again`);
        this.#spawn(node);
      }, RESTART_MS);
    });
  }

  /** Waits until all processes are ready and each service has a holder that has loaded its jobs. */
  async waitUntilReady(services) {
    await this.waitFor('all processes are ready', 20_000, async () => {
      const answers = await Promise.all(
        this.nodes.map(({ ready }) =>
          send({ address: ready, method: 'GET', path: '/api/ready', timeoutMs: 500 }),
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
    for (const service of services)
      await this.waitFor(`${service} has a holder`, 15_000, () => this.holderOf(service));
    this.record.add('all processes are ready');
  }

  /** The process that has last loaded the jobs of a service, by its own log. */
  holderOf(service) {
    return this.nodes.find(
      ({ output, hasEnded }) =>
        !hasEnded && output.includes(`event=service_loaded service=${service} `),
    );
  }

  /** Sends a signal to a process that this deployment started. */
  signal(node, signal) {
    this.record.add(`${signal} to ${node.name}`);
    node.child.kill(signal);
  }

  /** Sends a client's call and records what it got. */
  async call(node, { method, path, host, body, timeoutMs = 3_000, signal, isQuiet = false }) {
    const headers = { 'X-Deadline-Ms': String(timeoutMs) };
    const { address } = node;
    if (!isQuiet) this.record.add(`client: ${method} ${path} to ${node.name}`);
    const reply = await send({ address, method, path, host, headers, body, timeoutMs, signal });
    if (!isQuiet) {
      const text = reply.status === 0 ? 'no answer' : JSON.stringify(reply);
      this.record.add(`client: ${method} ${path} at ${node.name}: ${text}`);
    }
    return reply;
  }

  async waitFor(what, limitMs, isTrue) {
    const end = Date.now() + limitMs;
    while (Date.now() < end) {
      const value = await isTrue();
      if (value) return value;
      await sleep(50);
    }
    throw new NotRunError(`waited ${limitMs} ms in vain: ${what}`);
  }

  async close() {
    this.#isClosing = true;
    for (const { child, hasEnded } of this.nodes) {
      if (hasEnded) continue;
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    }
    this.fleet.close();
    this.store.close();
    this.cloud.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/**
 * Runs a case and ends the process with its verdict.
 *
 * @param folder - folder of the case, for its record
 * @param body - gets the deployment and whether the disruption is wanted; returns whether the rule held
 */
export async function runCase(folder, body) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = new Record(join(folder, 'record.txt'));
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  let deployment;
  let verdict = Verdict.NotRun;
  const limit = sleep(SCRIPT_LIMIT_MS, undefined, { ref: false }).then(() => {
    throw new NotRunError('the script took too long');
  });
  try {
    deployment = new Deployment(record);
    await deployment.open();
    const hasHeld = await Promise.race([body(deployment, hasTrouble), limit]);
    verdict = hasHeld ? Verdict.Held : Verdict.Broken;
  } catch (err) {
    record.add(`not run: ${err instanceof NotRunError ? err.message : err.stack}`);
  }
  await deployment?.close();
  record.add(
    `verdict: ${verdict} (${['the rule held', 'the rule was broken', 'not run'][verdict]})`,
  );
  record.write();
  if (process.env.SHOW_LOGS)
    for (const { name, output } of deployment?.nodes ?? [])
      writeFileSync(join(process.env.SHOW_LOGS, `${name}.log`), output);
  process.exit(verdict);
}
