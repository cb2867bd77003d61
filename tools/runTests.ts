import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { compareResults, parseKnownFailures, parseTapLine, type TestResult } from './knownRed.js';

// Runs all tests and compares the failures with KNOWN-RED.txt. Arguments are passed on to AVA, which then
// runs once with its default configuration.

/** Tests that measure a process run after the others, because these would slow it down. */
const CONFIGS = ['ava.config.js', 'ava.crowd.config.js'];

const ava = join(dirname(createRequire(import.meta.url).resolve('ava')), 'cli.mjs');

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs AVA, adds the results of its tests, and returns its exit code. */
async function runAva(args: readonly string[], results: TestResult[]): Promise<number | null> {
  const child = spawn(process.execPath, [ava, '--tap', ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  for await (const line of createInterface({ input: child.stdout })) {
    const result = parseTapLine(line);
    if (result) results.push(result);
    print(line);
  }
  const [exitCode] = (await exited) as [number | null];
  return exitCode;
}

const args = process.argv.slice(2);
const runs = args.length > 0 ? [args] : CONFIGS.map((config) => ['--config', config]);
const results: TestResult[] = [];
// AVA can also fail without a failing test, for example when it finds no test files.
let hasRunnerFailure = false;
for (const run of runs) {
  const before = results.length;
  const exitCode = await runAva(run, results);
  const isRunnerFailure = exitCode !== 0 && results.slice(before).every(({ isOk }) => isOk);
  if (isRunnerFailure) print(`AVA exited with code ${String(exitCode)} although no test failed`);
  hasRunnerFailure ||= isRunnerFailure;
}
const knownFailures = parseKnownFailures(await readFile('KNOWN-RED.txt', 'utf8').catch(() => ''));
const summary = compareResults(results, knownFailures);
for (const title of summary.known) print(`known failure (KNOWN-RED.txt): ${title}`);
for (const title of summary.outdated) print(`listed in KNOWN-RED.txt but did not fail: ${title}`);
for (const title of summary.failed) print(`failed: ${title}`);
print(`${summary.passed} passed, ${summary.failed.length} failed, ${summary.known.length} skipped`);
process.exitCode = summary.failed.length > 0 || hasRunnerFailure ? 1 : 0;
