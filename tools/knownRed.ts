/** One entry of KNOWN-RED.txt: a test that fails because of a known fault. */
export interface KnownFailure {
  /** Title of the test as the test runner prints it. */
  title: string;
}

/** Result of one test. */
export interface TestResult {
  isOk: boolean;
  title: string;
}

/** How a test run compares with the known faults. */
export interface RunSummary {
  passed: number;
  /** Failures that are not known. */
  failed: string[];
  /** Known failures that were seen. */
  known: string[];
  /** Entries whose test passes or no longer exists; the entry should be removed. */
  outdated: string[];
}

const TITLE_KEY = 'test:';

/** Reads the entries; each starts with a line `test: <title>`, other lines are for people. */
export function parseKnownFailures(text: string): KnownFailure[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith(TITLE_KEY))
    .map((line) => ({ title: line.slice(TITLE_KEY.length).trim() }));
}

/** Reads one line of TAP output; undefined when it is not the result of a test. */
export function parseTapLine(line: string): TestResult | undefined {
  const found = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (!found) return undefined;
  return { isOk: found[1] === undefined, title: (found[2] ?? '').trim() };
}

/** Compares results with the known faults. Only the failures listed by title are passed over. */
export function compareResults(
  results: readonly TestResult[],
  knownFailures: readonly KnownFailure[],
): RunSummary {
  const titles = new Set(knownFailures.map(({ title }) => title));
  const failures = results.filter(({ isOk }) => !isOk).map(({ title }) => title);
  const known = failures.filter((title) => titles.has(title));
  return {
    passed: results.length - failures.length,
    failed: failures.filter((title) => !titles.has(title)),
    known,
    outdated: [...titles].filter((title) => !known.includes(title)),
  };
}
