import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { compareResults, parseKnownFailures, parseTapLine, type TestResult } from './knownRed.js';

// Runs all tests and compares the failures with KNOWN-RED.txt. Arguments are passed on to AVA.

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const ava = join(dirname(createRequire(import.meta.url).resolve('ava')), 'cli.mjs');
const child = spawn(process.execPath, [ava, '--tap', ...process.argv.slice(2)], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
const exited = once(child, 'exit');
const results: TestResult[] = [];
for await (const line of createInterface({ input: child.stdout })) {
  const result = parseTapLine(line);
  if (result) results.push(result);
  print(line);
}
const [exitCode] = (await exited) as [number | null];
const knownFailures = parseKnownFailures(await readFile('KNOWN-RED.txt', 'utf8').catch(() => ''));
const summary = compareResults(results, knownFailures);
for (const title of summary.known) print(`known failure (KNOWN-RED.txt): ${title}`);
for (const title of summary.outdated) print(`listed in KNOWN-RED.txt but did not fail: ${title}`);
for (const title of summary.failed) print(`failed: ${title}`);
// AVA can also fail without a failing test, for example when it finds no test files.
const hasRunnerFailure = exitCode !== 0 && summary.failed.length + summary.known.length === 0;
if (hasRunnerFailure) print(`AVA exited with code ${String(exitCode)} although no test failed`);
print(`${summary.passed} passed, ${summary.failed.length} failed, ${summary.known.length} skipped`);
process.exitCode = summary.failed.length > 0 || hasRunnerFailure ? 1 : 0;
