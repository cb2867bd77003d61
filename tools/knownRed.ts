/** An entry of KNOWN-RED.txt: a test that fails because of a known fault. */
export interface KnownFailure {
  /** Title of the test as the test runner prints it. */
  title: string;
}

/** Result of one test. */
export interface TestResult {
  isOk: boolean;
  title: string;
}

/** Outcome of a test run, compared with the known failures. */
export interface RunSummary {
  passed: number;
  /** Titles of failed tests that are not listed. */
  failed: string[];
  /** Titles of failed tests that are listed. */
  known: string[];
  /** Titles of entries whose test passes or no longer exists; such entries should be removed. */
  outdated: string[];
}

const TITLE_KEY = 'test:';

/** Parses the entries. Each starts with a line `test: <title>`; all other lines are ignored. */
export function parseKnownFailures(text: string): KnownFailure[] {
  return text
    .split('\n')
    .filter((line) => line.startsWith(TITLE_KEY))
    .map((line) => ({ title: line.slice(TITLE_KEY.length).trim() }));
}

/** Parses a line of TAP output; undefined when it is not a test result. */
export function parseTapLine(line: string): TestResult | undefined {
  const found = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (!found) return undefined;
  return { isOk: found[1] === undefined, title: (found[2] ?? '').trim() };
}

/** Compares the results with the known failures. Only failures listed by title are tolerated. */
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
