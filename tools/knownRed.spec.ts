import test from 'ava';
import { compareResults, parseKnownFailures, parseTapLine } from './knownRed.js';

const text = `test: scheduler › is fair
command: npx ava dist/src/scheduling/scheduler.spec.js
seed: 7
seen: one team waits for ever
issue: 4
`;

const cases = [
  {
    title: 'a listed failure is tolerated',
    lines: ['ok 1 - a', 'not ok 2 - scheduler › is fair'],
    failed: [],
    known: 1,
    outdated: 0,
  },
  {
    title: 'an unlisted failure fails the run',
    lines: ['not ok 1 - scheduler › is fair too'],
    failed: ['scheduler › is fair too'],
    known: 0,
    outdated: 1,
  },
  {
    title: 'an entry whose test passes is reported as outdated',
    lines: ['ok 1 - scheduler › is fair'],
    failed: [],
    known: 0,
    outdated: 1,
  },
];

// Guards against a test run that tolerates failures not listed in KNOWN-RED.txt.
for (const { title, lines, failed, known, outdated } of cases) {
  test(title, (t) => {
    const results = lines.flatMap((line) => parseTapLine(line) ?? []);
    const summary = compareResults(results, parseKnownFailures(text));
    t.deepEqual(summary.failed, failed);
    t.is(summary.known.length, known);
    t.is(summary.outdated.length, outdated);
  });
}
