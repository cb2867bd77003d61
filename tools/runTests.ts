import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { judge, parseKnownRed, parseTapLine, type TestLine } from './knownRed.js';

// Runs all tests and compares the failures with KNOWN-RED.txt. Arguments go to the test runner.

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const ava = join(dirname(createRequire(import.meta.url).resolve('ava')), 'cli.mjs');
const child = spawn(process.execPath, [ava, '--tap', ...process.argv.slice(2)], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
const exited = once(child, 'exit');
const results: TestLine[] = [];
for await (const line of createInterface({ input: child.stdout })) {
  const result = parseTapLine(line);
  if (result) results.push(result);
  print(line);
}
const [exitCode] = (await exited) as [number | null];
const knownRed = parseKnownRed(await readFile('KNOWN-RED.txt', 'utf8').catch(() => ''));
const verdict = judge(results, knownRed);
for (const title of verdict.known) print(`known red: ${title}`);
for (const title of verdict.outdated) print(`known red, but not seen failing: ${title}`);
for (const title of verdict.failed) print(`failed: ${title}`);
// A runner that fails without a failing test, such as one that found no test, fails the run.
const hasOtherFault = exitCode !== 0 && verdict.failed.length + verdict.known.length === 0;
if (hasOtherFault) print(`the test runner ended with exit code ${String(exitCode)}`);
print(`${verdict.passed} passed, ${verdict.failed.length} failed, ${verdict.known.length} skipped`);
process.exitCode = verdict.failed.length > 0 || hasOtherFault ? 1 : 0;
