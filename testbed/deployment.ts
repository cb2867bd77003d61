import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import { runCli, type ExitCode } from '../src/cli/index.js';
import type { Inventory } from '../src/inventory/index.js';
import { startProcess, type TestProcess } from './processes.js';

const SECRET = 'a-secret-of-the-test-deployment';
const TOKEN = 'an-operator-token-of-the-test-deployment';

/** Zones, process counts and settings of a deployment under test. */
export interface DeploymentShape {
  zones: readonly string[];
  entriesPerZone: number;
  /** Number of VMs with a backend stand-in in each zone, by pool. */
  vmsPerZone: Readonly<Record<string, number>>;
  /** Settings that override the defaults of each entry process. */
  settings?: Record<string, unknown>;
}

/** A VM with its backend stand-in. */
export interface TestVm {
  id: string;
  zone: string;
  rack: string;
  pool: string;
  port: number;
  process: TestProcess;
}

/** An entry process under test. */
export interface TestEntry {
  name: string;
  zone: string;
  /** Base URL of the caller listener. */
  callerUrl: string;
  /** Base URL of the operator listener. */
  operatorUrl: string;
  peerPort: number;
  process: TestProcess;
}

/** Result of one run of the command line. */
export interface CommandResult {
  exitCode: ExitCode;
  output: string[];
  errors: string[];
}

const POLL_INTERVAL_MS = 50;

/**
 * Polls a condition until it holds.
 *
 * @param description - names the condition in the error message
 * @returns the elapsed time in milliseconds
 * @throws Error when the condition does not hold within `timeoutMs` milliseconds
 */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 60_000,
): Promise<number> {
  const startMs = performance.now();
  while (!(await condition())) {
    if (performance.now() - startMs > timeoutMs) {
      throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return performance.now() - startMs;
}

/** A small deployment of real processes that listen on free loopback ports. */
export class Deployment {
  readonly shape: DeploymentShape;
  readonly vms: TestVm[] = [];
  readonly entries: TestEntry[] = [];
  platform!: { url: string; process: TestProcess };
  #directory = '';
  #entryCount = 0;

  constructor(shape: DeploymentShape) {
    this.shape = shape;
  }

  /** Starts the platform and backend stand-ins and the entry processes. */
  async start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'burdocknotch-'));
    await this.startPlatform();
    await Promise.all(
      this.shape.zones.flatMap((zone) =>
        Object.entries(this.shape.vmsPerZone).flatMap(([pool, count]) =>
          Array.from({ length: count }, (_, index) => this.#startVm(zone, pool, index)),
        ),
      ),
    );
    this.vms.sort((a, b) => a.id.localeCompare(b.id));
    await this.#listVms();
    for (const zone of this.shape.zones) {
      for (let i = 0; i < this.shape.entriesPerZone; i++) await this.startEntry(zone);
    }
  }

  /** Starts the platform stand-in. */
  async startPlatform(): Promise<void> {
    const process = startProcess('platform', 'standins/platform/main.js', [
      '--list-lag-ms=500',
      '--reboot-ms=500',
    ]);
    const { port } = await process.waitForLine(parsePort);
    this.platform = { url: `http://127.0.0.1:${port}`, process };
  }

  async #startVm(zone: string, pool: string, index: number): Promise<void> {
    const id = `${zone}-${pool}-${index + 1}`;
    const process = startProcess(id, 'standins/backend/main.js', [`--pool=${pool}`]);
    const { port } = await process.waitForLine(parsePort);
    // Each rack holds four VMs.
    const rack = `${zone}-${pool}-rack-${Math.floor(index / 4) + 1}`;
    this.vms.push({ id, zone, rack, pool, port, process });
  }

  async #listVms(): Promise<void> {
    const vmSpecs = this.vms.map(({ id, zone, port }) => ({
      id,
      zone,
      backend: `http://127.0.0.1:${port}`,
    }));
    await this.callControl(this.platform.url, 'vms', vmSpecs);
  }

  /** Starts another entry process in a zone; the first entry processes are its seeds. */
  async startEntry(zone: string, name?: string): Promise<TestEntry> {
    this.#entryCount += 1;
    const memberName = name ?? `${zone}-entry-${this.#entryCount}`;
    const seeds = this.entries.slice(0, 4).map(({ peerPort }) => ({
      host: '127.0.0.1',
      port: peerPort,
    }));
    const { peers, membership, ...otherSettings } = (this.shape.settings ?? {}) as Record<
      string,
      object
    >;
    const settings = {
      name: memberName,
      zone,
      allowFaults: true,
      callers: { host: '127.0.0.1', port: 0 },
      operators: { port: 0 },
      platform: { url: this.platform.url },
      peers: { listenHost: '127.0.0.1', port: 0, ...peers },
      membership: { seeds, ...membership },
      ...otherSettings,
    };
    const file = join(this.#directory, `${memberName}-${this.#entryCount}.yaml`);
    await writeFile(file, stringify(settings));
    const process = startProcess(memberName, 'src/cli/main.js', ['entry', '--config', file], {
      BURDOCKNOTCH_SECRET: SECRET,
      BURDOCKNOTCH_TOKEN: TOKEN,
    });
    const ports = await process.waitForLine(parseListeningPorts);
    const entry: TestEntry = {
      name: memberName,
      zone,
      callerUrl: `http://127.0.0.1:${ports.callers}`,
      operatorUrl: `http://127.0.0.1:${ports.operators}`,
      peerPort: ports.peers,
      process,
    };
    this.entries.push(entry);
    return entry;
  }

  /** Builds the inventory of the deployment; `edit` may modify it before it is returned. */
  inventory(edit: (inventory: Inventory) => void = () => undefined): Inventory {
    const pools = Object.keys(this.shape.vmsPerZone);
    const inventory: Inventory = {
      services: pools.map((id) => ({
        id,
        pool: id,
        maxQueued: 200,
        spill: true,
        minAvailableSlots: 8,
      })),
      pools: pools.map((id) => ({
        id,
        minAvailable: 1,
        maxAway: 2,
        maxAwayPerRack: 2,
        maxAwayPerZone: 1,
        isSpare: id === 'spare',
        mayBorrow: id !== 'spare',
      })),
      teams: ['league', 'depot'].map((id) => ({
        id,
        weight: 1,
        maxQueued: 200,
        maxRunning: 64,
        maxUrgent: 16,
        maxJobs: 100,
      })),
      vms: this.vms.map(({ id, zone, rack, pool, port }) => ({
        id,
        zone,
        rack,
        pool,
        cores: 16,
        memoryMib: 65_536,
        accelerators: 0,
        executor: { host: '127.0.0.1', port, slots: 8, connections: 64 },
      })),
    };
    edit(inventory);
    return inventory;
  }

  /** Writes an inventory file and returns its path. */
  async writeInventory(inventory: Inventory, name = 'inventory.yaml'): Promise<string> {
    const file = join(this.#directory, name);
    await writeFile(file, stringify(inventory));
    return file;
  }

  /** Runs a command of the command line against one entry process. */
  async cli(entry: TestEntry, ...args: string[]): Promise<CommandResult> {
    const output: string[] = [];
    const errors: string[] = [];
    process.env.BURDOCKNOTCH_TOKEN = TOKEN;
    const exitCode = await runCli([...args, '--operator', entry.operatorUrl], {
      print: (line) => output.push(line),
      printError: (line) => errors.push(line),
    });
    return { exitCode, output, errors };
  }

  /**
   * Runs a command with `--json` and returns its parsed output.
   *
   * @throws Error when the command prints no output
   */
  async cliJson<T>(entry: TestEntry, ...args: string[]): Promise<T> {
    const { exitCode, output, errors } = await this.cli(entry, ...args, '--json');
    const [line] = output;
    if (line === undefined) {
      throw new Error(`${args.join(' ')} ended with ${exitCode}: ${errors.join(' ')}`);
    }
    return JSON.parse(line) as T;
  }

  /** Calls a control endpoint of a stand-in: POST with a body, GET without one. */
  async callControl<T>(url: string, path: string, body?: unknown): Promise<T> {
    const res = await request(`${url}/control/${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      body: body === undefined ? null : JSON.stringify(body),
    });
    const text = await res.body.text();
    if (res.statusCode >= 400) throw new Error(`${path}: status ${res.statusCode}: ${text}`);
    return JSON.parse(text) as T;
  }

  /** Injects a fault into a stand-in; undefined clears all its faults. */
  async setFault(url: string, fault?: object): Promise<void> {
    const res = await request(`${url}/control/faults`, {
      method: fault === undefined ? 'DELETE' : 'POST',
      body: fault === undefined ? null : JSON.stringify(fault),
    });
    await res.body.dump();
  }

  /** Posts to the operator listener of an entry process and returns the status code. */
  async postToOperator(entry: TestEntry, path: string, body: unknown): Promise<number> {
    const res = await request(`${entry.operatorUrl}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.body.dump();
    return res.statusCode;
  }

  /** Base URL of a VM's backend stand-in. */
  backendUrl(vm: TestVm): string {
    return `http://127.0.0.1:${vm.port}`;
  }

  /** Kills all processes and removes the temporary files. */
  async stop(): Promise<void> {
    const processes = [
      ...this.entries.map((entry) => entry.process),
      ...this.vms.map((vm) => vm.process),
      this.platform.process,
    ];
    await Promise.all(processes.map((process) => process.kill()));
    await rm(this.#directory, { recursive: true, force: true });
  }
}

function parsePort(line: string): { port: number } | undefined {
  return line.startsWith('{') ? (JSON.parse(line) as { port: number }) : undefined;
}

function parseListeningPorts(
  line: string,
): { callers: number; operators: number; peers: number } | undefined {
  if (!line.includes('event=listening')) return undefined;
  const portOf = (key: string) => Number(new RegExp(`\\b${key}=(\\d+)`).exec(line)?.[1]);
  return { callers: portOf('callers'), operators: portOf('operators'), peers: portOf('peers') };
}
