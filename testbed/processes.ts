import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** Longest wait for a process to report that it listens, in milliseconds. */
const START_TIMEOUT_MS = 30_000;

/** Lines of output kept for a failure report. */
const MAX_KEPT_LINES = 200;

/** A child process of a test or demonstration. */
export interface TestProcess {
  readonly name: string;
  readonly pid: number;
  /** Newest lines of standard output and error. */
  readonly lines: readonly string[];
  readonly hasExited: boolean;
  /** Resolves to the first line for which `match` returns a value. */
  waitForLine<T>(match: (line: string) => T | undefined): Promise<T>;
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM and waits; returns the exit code, or null when a signal ended the process. */
  stop(): Promise<number | null>;
  /** Sends SIGKILL and waits. */
  kill(): Promise<void>;
}

/** Processes that run. None may outlive this process, however it ends. */
const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** Path of a compiled module, relative to the compiled root folder. */
export function compiledPath(path: string): string {
  return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

/** Starts a compiled module as a process of its own. */
export function startProcess(
  name: string,
  modulePath: string,
  args: readonly string[],
  env: NodeJS.ProcessEnv = {},
): TestProcess {
  const child = spawn(process.execPath, [compiledPath(modulePath), ...args], {
    env: { ...process.env, ...env },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  runningChildren.add(child);
  child.once('exit', () => runningChildren.delete(child));
  return new SpawnedProcess(name, child);
}

class SpawnedProcess implements TestProcess {
  readonly name: string;
  readonly lines: string[] = [];
  readonly #child: ChildProcess;
  readonly #listeners = new Set<(line: string) => void>();
  readonly #exited: Promise<unknown>;

  constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#child = child;
    this.#exited = once(child, 'exit');
    for (const stream of [child.stdout, child.stderr]) {
      if (!stream) continue;
      createInterface({ input: stream }).on('line', (line) => {
        this.#onLine(line);
      });
    }
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  #onLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > MAX_KEPT_LINES) this.lines.shift();
    for (const listener of this.#listeners) listener(line);
  }

  waitForLine<T>(match: (line: string) => T | undefined): Promise<T> {
    return new Promise((resolve, reject) => {
      const finish = (settle: () => void) => {
        clearTimeout(timer);
        this.#listeners.delete(check);
        settle();
      };
      const fail = (reason: string) => {
        const text = `${this.name} ${reason}; its last lines:\n${this.lines.slice(-20).join('\n')}`;
        finish(() => {
          reject(new Error(text));
        });
      };
      const check = (line: string) => {
        const found = match(line);
        if (found === undefined) return;
        finish(() => {
          resolve(found);
        });
      };
      const timer = setTimeout(() => {
        fail(`printed no matching line within ${START_TIMEOUT_MS} ms`);
      }, START_TIMEOUT_MS);
      this.#listeners.add(check);
      for (const line of this.lines) check(line);
      void this.#exited.then(() => {
        if (this.#listeners.has(check)) fail('exited');
      });
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  async stop(): Promise<number | null> {
    if (!this.hasExited) this.#child.kill('SIGTERM');
    await this.#exited;
    return this.#child.exitCode;
  }

  async kill(): Promise<void> {
    if (!this.hasExited) this.#child.kill('SIGKILL');
    await this.#exited;
  }
}
