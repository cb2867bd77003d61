import test from 'ava';
import { createVirtualClock } from '../testing/virtualClock.js';
import { mayAccessJob } from './access.js';
import { KeyRefusalReason } from './errors.js';
import { digestOfKey } from './keyDigest.js';
import { KeyRegistry } from './keyRegistry.js';
import { RefusalLog } from './refusalLog.js';
import { accountRuleDefaults } from './defaults.js';
import type { Account, AccountRules } from './types.js';

const NO_LIMIT = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

function account(name: string, ...keys: string[]): Account {
  const keyDigests = keys.map((key) => digestOfKey(key).toString('hex'));
  return { name, keyDigests, weight: 1, limit: NO_LIMIT };
}

const strict: AccountRules = { ...accountRuleDefaults, isRevocationStrict: true };
const required: AccountRules = { ...accountRuleDefaults, areKeysRequired: true };
const { MissingKey, UnknownKey, StaleConfig } = KeyRefusalReason;

interface Case {
  title: string;
  rules?: AccountRules;
  accounts?: Account[];
  /** Time that passes on the monotonic clock after the configuration was confirmed. */
  ageMs?: number;
  /** Time that passes on the wall clock in addition, as during a suspension. */
  suspendedMs?: number;
  key?: string;
  isPublic?: boolean;
  expected: string | undefined;
}

const acme = account('acme', 'key-a', 'key-a2');
const zenith = account('zenith', 'key-z');
const both = [acme, zenith];

// Guards against callers that are served without the key of an account, and against callers that are
// refused although their key is valid or may have become valid.
const cases: Case[] = [
  { title: 'no accounts: no key is needed', expected: undefined },
  { title: 'no accounts: a key is not inspected', key: 'x', expected: undefined },
  { title: 'no accounts: an old configuration is no reason', ageMs: 90_000, expected: undefined },
  { title: 'an empty list of accounts: no key is needed', accounts: [], expected: undefined },
  { title: 'required, but none listed: missing', rules: required, expected: MissingKey },
  { title: 'required, but none listed: unknown', rules: required, key: 'x', expected: UnknownKey },
  { title: 'required, public queue', rules: required, isPublic: true, expected: undefined },
  { title: 'a missing key', accounts: both, expected: MissingKey },
  { title: 'an empty key', accounts: both, key: '', expected: MissingKey },
  { title: 'an unknown key', accounts: both, key: 'key-b', expected: UnknownKey },
  { title: 'a part of a key', accounts: both, key: 'key-', expected: UnknownKey },
  { title: 'a key in another case', accounts: both, key: 'KEY-A', expected: UnknownKey },
  {
    title: 'a digest instead of a key',
    accounts: both,
    key: acme.keyDigests[0] ?? '',
    expected: UnknownKey,
  },
  { title: 'a valid key', accounts: both, key: 'key-z', expected: 'zenith' },
  { title: 'a second valid key', accounts: both, key: 'key-a2', expected: 'acme' },
  {
    title: 'a valid key on a public queue',
    accounts: both,
    key: 'key-z',
    isPublic: true,
    expected: undefined,
  },
  {
    title: 'an unknown key, configuration 2 s old',
    accounts: both,
    key: 'x',
    ageMs: 2_000,
    expected: UnknownKey,
  },
  {
    title: 'an unknown key, configuration older than 2 s',
    accounts: both,
    key: 'x',
    ageMs: 2_001,
    expected: StaleConfig,
  },
  { title: 'a missing key, old', accounts: both, ageMs: 60_000, expected: MissingKey },
  { title: 'a valid key, old', accounts: both, key: 'key-z', ageMs: 60_000, expected: 'zenith' },
  {
    title: 'strict: a valid key, configuration 4 s old',
    rules: strict,
    accounts: both,
    key: 'key-z',
    ageMs: 4_000,
    expected: 'zenith',
  },
  {
    title: 'strict: a valid key, configuration older than 4 s',
    rules: strict,
    accounts: both,
    key: 'key-z',
    ageMs: 4_001,
    expected: StaleConfig,
  },
  {
    title: 'strict: a valid key after a suspension in which the monotonic clock stood still',
    rules: strict,
    accounts: both,
    key: 'key-z',
    suspendedMs: 4_001,
    expected: StaleConfig,
  },
  {
    title: 'strict: the monotonic age counts although the wall clock was set back',
    rules: strict,
    accounts: both,
    key: 'key-z',
    ageMs: 4_001,
    suspendedMs: -60_000,
    expected: StaleConfig,
  },
  {
    title: 'strict: an old configuration on a public queue',
    rules: strict,
    accounts: both,
    ageMs: 60_000,
    isPublic: true,
    expected: undefined,
  },
  {
    title: 'strict without accounts: an old configuration',
    rules: strict,
    ageMs: 60_000,
    key: 'x',
    expected: undefined,
  },
];

for (const { title, rules, accounts, key, isPublic = false, expected, ...times } of cases) {
  test(title, async (t) => {
    const virtual = createVirtualClock();
    let offsetMs = 0;
    const clock = { ...virtual, wallTime: () => virtual.wallTime() + offsetMs };
    const registry = new KeyRegistry({ clock, rules });
    registry.apply(1, accounts);
    registry.confirm({ monotonicMs: clock.now(), wallMs: clock.wallTime() });
    await virtual.advance(times.ageMs ?? 0);
    offsetMs = times.suspendedMs ?? 0;
    const res = registry.check(key, isPublic);
    t.is(res.isOk ? res.value : res.error.code, expected);
    const isStale = expected === StaleConfig;
    t.is(res.isErr ? res.error.retryAfterMs : undefined, isStale ? 1_000 : undefined);
  });
}

test('accounts of an older version never replace those of a newer one', (t) => {
  const registry = new KeyRegistry({ clock: createVirtualClock() });
  registry.confirm({ monotonicMs: 0, wallMs: 0 });
  registry.apply(7, [acme]);
  registry.apply(6, both);
  t.is(registry.check('key-z', false).isOk, false);
  t.is(registry.check('key-a', false).unwrapOr(undefined), 'acme');
});

test('a confirmation that was sent earlier does not make the configuration older', async (t) => {
  const clock = createVirtualClock();
  const registry = new KeyRegistry({ clock });
  await clock.advance(5_000);
  registry.confirm({ monotonicMs: 4_000, wallMs: 4_000 });
  registry.confirm({ monotonicMs: 1_000, wallMs: 1_000 });
  t.is(registry.ageMs(), 1_000);
});

test('before the first confirmation, no key is decided on where revocation is strict', (t) => {
  const registry = new KeyRegistry({ clock: createVirtualClock(), rules: strict });
  registry.apply(1, both);
  const res = registry.check('key-a', false);
  t.is(res.isErr ? res.error.code : undefined, StaleConfig);
});

// Guards against a registry that keeps the text of keys, or that is slow or large with thousands of
// accounts.
test('thousands of accounts are found, and their keys are not kept', (t) => {
  const registry = new KeyRegistry({ clock: createVirtualClock() });
  registry.confirm({ monotonicMs: 0, wallMs: 0 });
  const accounts = Array.from({ length: 5_000 }, (_, index) =>
    account(`account-${index}`, `secret-${index}`),
  );
  registry.apply(1, accounts);
  for (const index of [0, 1, 2_500, 4_999]) {
    t.is(registry.check(`secret-${index}`, false).unwrapOr(undefined), `account-${index}`);
  }
  t.true(registry.check('secret-5000', false).isErr);
  t.notRegex(JSON.stringify(accounts), /secret/);
});

// Guards against keys that match only while they are ASCII.
test('a key is compared by its bytes', (t) => {
  const registry = new KeyRegistry({ clock: createVirtualClock() });
  registry.confirm({ monotonicMs: 0, wallMs: 0 });
  registry.apply(1, [account('acme', 'clé')]);
  t.is(registry.check(Buffer.from('clé', 'utf8'), false).unwrapOr(undefined), 'acme');
});

const accesses: [owner: string | undefined, caller: string | undefined, expected: boolean][] = [
  ['acme', 'acme', true],
  ['acme', 'zenith', false],
  ['acme', undefined, false],
  [undefined, 'acme', true],
  [undefined, undefined, true],
];

for (const [owner, caller, expected] of accesses) {
  test(`access to a job of ${owner ?? 'nobody'} by ${caller ?? 'a caller without key'}`, (t) => {
    t.is(mayAccessJob(owner, caller), expected);
  });
}

// Guards against refused callers that fill the log.
test('refusals are logged once a second per queue and reason, with the number left out', async (t) => {
  const clock = createVirtualClock();
  const log = new RefusalLog(clock);
  t.is(log.record('q', MissingKey), 0);
  for (let number = 0; number < 5; number++) t.is(log.record('q', MissingKey), undefined);
  t.is(log.record('q', UnknownKey), 0);
  t.is(log.record('other', MissingKey), 0);
  await clock.advance(1_000);
  t.is(log.record('q', MissingKey), 5);
  await clock.advance(1_000);
  t.is(log.record('q', MissingKey), 0);
});
