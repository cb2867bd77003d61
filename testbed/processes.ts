import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** Timeout for a process to print an expected line, such as the ports that it listens on. */
const START_TIMEOUT_MS = 30_000;

/** Maximum number of output lines that are kept for {@link TestProcess.waitForLine} and errors. */
const MAX_KEPT_LINES = 200;

/** A child process of a test or demonstration. */
export interface TestProcess {
  readonly name: string;
  readonly pid: number;
  /** Most recent lines of standard output and standard error. */
  readonly lines: readonly string[];
  readonly hasExited: boolean;
  /** Resolves to the first line for which `match` returns a value. */
  waitForLine<T>(match: (line: string) => T | undefined): Promise<T>;
  signal(signal: NodeJS.Signals): void;
  /**
   * Sends SIGTERM and waits for the exit.
   *
   * @returns the exit code, or null when a signal terminated the process
   */
  stop(): Promise<number | null>;
  /** Sends SIGKILL and waits for the exit. */
  kill(): Promise<void>;
}

/** Running child processes. They are killed when this process exits, so that none is orphaned. */
const runningChildren = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** Resolves a path relative to the output directory of the compiler. */
export function compiledPath(path: string): string {
  return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

/** Starts a compiled module as a child process. */
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
        const text = `${this.name} ${reason}; last output:\n${this.lines.slice(-20).join('\n')}`;
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
