import test from 'ava';
import { CallOutcome, type CallAnswer } from '../batch/gateway.js';
import { encodeEndedJob, encodeJob } from '../batch/jobCodec.js';
import { JobState, RefusalReason, RunEnd, type JobSpec, type StepSpec } from '../batch/index.js';
import { BatchRig, required } from '../testing/batchRig/index.js';

const TASK: Partial<StepSpec> = { cpuMillis: 2_000, estimateMs: 500 };
/** Time after which a job of one task has no value: three times 600 ms + 1.6 x 500 ms. */
const VALUE_MS = 4_200;
const TIMEOUT_MS = 3_000;

/** Ten accounts with weights 1 to 8; their sum is 39. */
const WEIGHTS: Record<string, number> = {
  a1: 1,
  a2: 2,
  a3: 3,
  a4: 4,
  a5: 5,
  a6: 6,
  a7: 7,
  a8: 8,
  b1: 1,
  b2: 2,
};
const NAMES = Object.keys(WEIGHTS);
const TOTAL_WEIGHT = Object.values(WEIGHTS).reduce((sum, weight) => sum + weight, 0);

interface Sent {
  spec: JobSpec;
  account: string;
  sentAt: number;
  answer?: CallAnswer;
  answeredAt?: number;
}

/** A rig to which accounts submit jobs at constant rates. */
class Load {
  readonly rig: BatchRig;
  readonly sent: Sent[] = [];
  task = TASK;
  readonly #hasAccounts: boolean;

  constructor(workers: number, hasAccounts: boolean, weights = WEIGHTS) {
    this.#hasAccounts = hasAccounts;
    this.rig = new BatchRig({
      workersPerService: workers,
      nodes: 2,
      weights: hasAccounts ? weights : undefined,
    });
  }

  /** Submits one job. In a deployment without accounts, jobs belong to none. */
  submit(account: string, fields: Partial<JobSpec> = {}): Sent {
    const { rig } = this;
    const owner = this.#hasAccounts ? { account } : {};
    const spec = rig.createJob('motions', [this.task], { ...owner, ...fields });
    const entry: Sent = { spec, account, sentAt: rig.clock.now() };
    this.sent.push(entry);
    const { gateway } = required(rig.nodes.find(({ isDead }) => !isDead)).node;
    void gateway.submit(rig.queue('motions'), spec, TIMEOUT_MS).then((answer) => {
      Object.assign(entry, { answer, answeredAt: rig.clock.now() });
    });
    return entry;
  }

  /** Lets each account submit at its rate, in jobs per second, for some time. */
  async run(rates: Record<string, number>, durationMs: number): Promise<void> {
    const due = new Map(Object.keys(rates).map((name) => [name, 0]));
    for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
      for (const [name, rate] of Object.entries(rates)) {
        let credit = (due.get(name) ?? 0) + rate / 20;
        for (; credit >= 1; credit--) this.submit(name);
        due.set(name, credit);
      }
      await this.rig.advance(50);
    }
  }

  /** Whether a further job of an account is refused as hopeless now. */
  async isRefused(account: string): Promise<boolean> {
    const probe = this.submit(account);
    await this.rig.advance(50);
    return probe.answer?.reason === RefusalReason.Hopeless;
  }

  /** Time in milliseconds that each account's runs took on workers in a span. */
  ranMs(from: number, to: number): Map<string, number> {
    const accountOf = new Map(this.sent.map(({ spec, account }) => [spec.id, account]));
    const ran = new Map<string, number>(NAMES.map((name) => [name, 0]));
    for (const { task, startedAt, endedAt = Infinity } of this.rig.fleet.runs()) {
      const account = accountOf.get(task.split('.')[0] ?? '');
      const ms = Math.min(to, endedAt) - Math.max(from, startedAt);
      if (account !== undefined && ms > 0) ran.set(account, (ran.get(account) ?? 0) + ms);
    }
    return ran;
  }

  /** Waits for the first start in milliseconds; jobs that did not start count as infinite. */
  startWaits(entries: readonly Sent[]): number[] {
    const startOf = new Map<string, number>();
    for (const { task, startedAt } of this.rig.fleet.runs()) {
      const id = task.split('.')[0] ?? '';
      startOf.set(id, Math.min(startedAt, startOf.get(id) ?? Infinity));
    }
    return entries.map(({ spec, sentAt }) => (startOf.get(spec.id) ?? Infinity) - sentAt);
  }
}

function percentile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

const equalRates = (rate: number) => Object.fromEntries(NAMES.map((name) => [name, rate]));

/** Deviation of each account from its part by weight, as a factor. */
function againstWeight(ran: ReadonlyMap<string, number>): Map<string, number> {
  const all = [...ran.values()].reduce((sum, ms) => sum + ms, 0);
  return new Map(
    [...ran].map(([name, ms]) => [name, ms / ((all * (WEIGHTS[name] ?? 0)) / TOTAL_WEIGHT)]),
  );
}

async function runEqualDemand(hasAccounts: boolean): Promise<Map<string, number>> {
  const load = new Load(5, hasAccounts);
  // Small tasks, because an account's part can only be met to within one task.
  load.task = { cpuMillis: 500, estimateMs: 2_000 };
  load.rig.fleet.script = () => ({ runMs: 2_000 });
  await load.rig.ready();
  await load.run(equalRates(8), 4_000);
  const from = load.rig.clock.now();
  await load.run(equalRates(8), 10_000);
  return againstWeight(load.ranMs(from, load.rig.clock.now()));
}

const show = (values: ReadonlyMap<string, number>) =>
  [...values].map(([name, value]) => `${name}=${value.toFixed(2)}`).join(' ');

// Guards against an account with a small weight that gets as much as one with a large weight.
test('all accounts want more than their share: each gets its weight of the capacity', async (t) => {
  const factors = await runEqualDemand(true);
  t.log(`share / weight: ${show(factors)}`);
  for (const [name, factor] of factors) t.true(factor > 0.7 && factor < 1.3, `${name}: ${factor}`);
  const present = await runEqualDemand(false);
  t.log(`present order:  ${show(present)}`);
  t.true((present.get('a1') ?? 0) > 2, 'the present order must not share by weight');
});

interface BurstResult {
  acceptP95: number;
  startP95: number;
  refused: number;
}

/** Lets `a8` send seven times its usual load for 4 s. */
async function runBurst(hasAccounts: boolean): Promise<BurstResult> {
  const load = new Load(14, hasAccounts);
  await load.rig.ready();
  const usual = Object.fromEntries(NAMES.map((name) => [name, (WEIGHTS[name] ?? 0) * 0.7]));
  await load.run(usual, 2_000);
  const before = load.sent.length;
  await load.run({ ...usual, a8: (usual.a8 ?? 0) * 7 }, 4_000);
  const during = load.sent.slice(before).filter(({ account }) => account !== 'a8');
  await load.rig.advance(8_000);
  const acceptWaits = during.map(({ answeredAt = Infinity, sentAt }) => answeredAt - sentAt);
  return {
    acceptP95: percentile(acceptWaits, 0.95),
    startP95: percentile(load.startWaits(during), 0.95),
    refused: during.filter(({ answer }) => answer?.outcome !== CallOutcome.Ok).length,
  };
}

// Guards against accounts that wait behind the burst of another one.
test('one account sends seven times its usual load: the others hardly wait', async (t) => {
  const shared = await runBurst(true);
  const present = await runBurst(false);
  t.log(`by account: ${JSON.stringify(shared)}; present order: ${JSON.stringify(present)}`);
  t.is(shared.refused, 0);
  t.true(shared.acceptP95 <= 50, `accepted after ${shared.acceptP95} ms`);
  t.true(shared.startP95 <= 300, `started after ${shared.startP95} ms`);
  t.true(present.startP95 > 2 * shared.startP95, 'the present order must make the others wait');
});

async function runReturn(hasAccounts: boolean): Promise<{ idleFactor: number; startP90: number }> {
  const load = new Load(5, hasAccounts);
  await load.rig.ready();
  const others = { ...equalRates(8), a8: 0 };
  await load.run(others, 4_000);
  const from = load.rig.clock.now();
  await load.run(others, 1_000);
  const ranWhileIdle = [...load.ranMs(from, load.rig.clock.now()).values()];
  const idleFactor = ranWhileIdle.reduce((sum, ms) => sum + ms, 0) / (10 * 1_000);
  const before = load.sent.length;
  await load.run({ ...others, a8: 3 }, 3_000);
  const returned = load.sent.slice(before).filter(({ account }) => account === 'a8');
  await load.rig.advance(6_000);
  return { idleFactor, startP90: percentile(load.startWaits(returned), 0.9) };
}

// Guards against capacity that is kept for an idle account, and against one that waits on its return
// because the others hold its share.
test('the share of an idle account goes to the others and returns with its first jobs', async (t) => {
  const shared = await runReturn(true);
  const present = await runReturn(false);
  t.log(`by account: ${JSON.stringify(shared)}; present order: ${JSON.stringify(present)}`);
  t.true(shared.idleFactor > 0.9, `${shared.idleFactor} of the capacity in use`);
  t.true(shared.startP90 <= 500, `started after ${shared.startP90} ms`);
  t.true(present.startP90 > 2 * shared.startP90, 'the present order must make it wait');
});

const HEAVY = { loud: 1, calm: 4 };

async function overload(hasAccounts = true, task = TASK): Promise<Load> {
  const load = new Load(2, hasAccounts, HEAVY);
  load.task = task;
  await load.rig.ready();
  await load.run({ loud: 30, calm: 3 }, 6_000);
  return load;
}

const isRefusedAs =
  (reason: RefusalReason) =>
  ({ answer }: Sent): boolean =>
    answer?.reason === reason;

// Guards against refusals of jobs that could be served, against work of refused jobs, and against a
// Retry-After after which the caller is refused again or served too late.
test('a hopeless job is refused, and its Retry-After holds', async (t) => {
  const load = await overload();
  const { rig } = load;
  await rig.advance(200);
  const refused = load.sent.filter(isRefusedAs(RefusalReason.Hopeless));
  t.true(refused.length > 20, `${refused.length} refused`);
  t.deepEqual([...new Set(refused.map(({ account }) => account))], ['loud']);
  t.true(
    load.sent
      .filter(({ account }) => account === 'calm')
      .every(({ answer }) => answer?.outcome === CallOutcome.Ok),
  );
  const last = required(refused.at(-1));
  const retryAfterMs = required(last.answer?.retryAfterMs);
  t.log(
    `${refused.length} of ${load.sent.length} refused, Retry-After ${Math.round(retryAfterMs)} ms`,
  );
  const stored = JSON.stringify([...rig.store.rows.values()]);
  for (const { spec } of refused) t.false(stored.includes(spec.id));
  // The caller comes back after exactly the announced time.
  await rig.advance(Math.max(0, retryAfterMs - (rig.clock.now() - required(last.answeredAt))));
  const again = load.submit('loud', { id: last.spec.id });
  await rig.advance(VALUE_MS);
  t.is(again.answer?.outcome, CallOutcome.Ok);
  const runs = rig.fleet.runs().filter(({ task }) => task.startsWith(`${last.spec.id}.`));
  t.is(runs.length, 1);
  t.true(required(runs[0]?.endedAt) - again.sentAt <= VALUE_MS);
  // None of the other refused jobs ran.
  const refusedIds = new Set(refused.filter((entry) => entry !== last).map(({ spec }) => spec.id));
  t.false(rig.fleet.runs().some(({ task }) => refusedIds.has(task.split('.')[0] ?? '')));
  t.deepEqual(rig.violations(), []);
  const lines = rig.nodes.flatMap(({ logLines }) => logLines);
  t.true(
    lines.some((line) =>
      /event=submit_refused .*reason=hopeless account=loud retry_after_ms=\d+ work_ahead_ms=\d+ rate=/.test(
        line,
      ),
    ),
  );
});

/** Jobs that ended while they had value, counted from their last submission. */
function endedInTime({ rig, sent }: Load): Set<string> {
  const ends = new Map(
    rig.fleet.runs().map(({ task, endedAt = Infinity }) => [task.split('.')[0] ?? '', endedAt]),
  );
  const sentAt = new Map(sent.map((entry) => [entry.spec.id, entry.sentAt]));
  return new Set(
    [...sentAt].flatMap(([id, at]) => ((ends.get(id) ?? Infinity) - at <= VALUE_MS ? [id] : [])),
  );
}

// Guards against a Retry-After that sends callers back too early, so that they run out of retries, and
// against refusals after which fewer callers are served than without them.
test('callers that come back when told to are accepted, and more are served', async (t) => {
  const load = await overload();
  const { rig } = load;
  await rig.advance(50);
  let waiting = load.sent.filter(isRefusedAs(RefusalReason.Hopeless));
  const refusedIds = new Set(waiting.map(({ spec }) => spec.id));
  const retries = new Map<string, number>();
  const end = rig.clock.now() + 40_000;
  while (waiting.length > 0 && rig.clock.now() < end) {
    await rig.advance(20);
    waiting = waiting.flatMap((entry) => {
      const { answer, answeredAt = Infinity, spec } = entry;
      if (answer?.outcome === CallOutcome.Ok) return [];
      if (answer === undefined || rig.clock.now() < answeredAt + required(answer.retryAfterMs))
        return [entry];
      retries.set(spec.id, (retries.get(spec.id) ?? 0) + 1);
      return [load.submit('loud', { id: spec.id })];
    });
  }
  await rig.advance(VALUE_MS);
  const served = endedInTime(load);
  const present = await overload(false);
  await present.rig.advance(40_000);
  const presentServed = endedInTime(present);
  const servedAgain = [...refusedIds].filter((id) => served.has(id)).length;
  t.log(
    `${refusedIds.size} refused, at most ${Math.max(...retries.values())} retries, ` +
      `${servedAgain} of them ended while they had value; of all ${served.size}, ` +
      `in the present order ${presentServed.size} of ${present.sent.length}`,
  );
  t.deepEqual(waiting, []);
  t.true(Math.max(...retries.values()) <= 4);
  t.true(served.size > presentServed.size);
});

// Guards against refusals that come too early because the end of a gang counts as that of one task.
test('the rate counts all tasks of a gang', async (t) => {
  const { rig } = await overload(true, { ...TASK, cpuMillis: 1_000, count: 4, isGang: true });
  const rates = rig.nodes
    .flatMap(({ logLines }) => logLines)
    .flatMap((line) => /reason=hopeless .*rate=([\d.]+)/.exec(line)?.[1] ?? [])
    .map(Number);
  t.true(rates.length > 0);
  t.true(Math.min(...rates) > 0.7, `${Math.min(...rates)} to ${Math.max(...rates)}`);
});

// Guards against refusals where no account exists.
test('without accounts the same load is not refused', async (t) => {
  const load = await overload(false);
  await load.rig.advance(200);
  t.true(load.sent.every(({ answer }) => answer?.outcome === CallOutcome.Ok));
});

// Guards against a refusal of a job that may run: one that is known, that was written to the inbox
// without its holder's knowledge, or that is long-running.
test('known jobs, long-running jobs and stored jobs are not refused under load', async (t) => {
  const load = await overload();
  const { rig } = load;
  const accepted = required(
    load.sent.find(
      ({ account, answer }) => account === 'loud' && answer?.outcome === CallOutcome.Ok,
    ),
  );
  // Takes the job that its rate may allow again.
  load.submit('loud');
  const known = load.submit('loud', { id: accepted.spec.id });
  const lasting = load.submit('loud', {
    steps: rig.createJob('motions', [{ ...TASK, isLasting: true }]).steps,
  });
  const refused = load.submit('loud');
  const inboxed = rig.createJob('motions', [TASK], { account: 'loud' });
  const key = { table: 'ended', part: 'motions', key: inboxed.id };
  rig.store.put(key, encodeEndedJob({ state: JobState.Succeeded, account: 'loud' }));
  const ended = load.submit('loud', { id: inboxed.id });
  await rig.advance(200);
  t.is(refused.answer?.reason, RefusalReason.Hopeless);
  for (const entry of [known, lasting, ended]) t.is(entry.answer?.outcome, CallOutcome.Ok);
});

/** Fills the pool for a while, lets jobs wait in it, and returns them in the order of their starts. */
async function startOrder(killsHolder: boolean): Promise<string[]> {
  const load = new Load(2, true, HEAVY);
  // Long enough that no job becomes late while the service has no holder.
  load.task = { cpuMillis: 2_000, estimateMs: 20_000 };
  const { rig } = load;
  const blockers = new Set<string>();
  rig.fleet.script = (task) => ({ runMs: blockers.has(task.split('.')[0] ?? '') ? 16_000 : 1_000 });
  await rig.ready();
  for (let index = 0; index < 4; index++) blockers.add(load.submit('calm').spec.id);
  await rig.advance(300);
  const labels = new Map<string, string>();
  const label = (account: string, index: number, { spec }: { spec: JobSpec }) =>
    labels.set(spec.id, `${account}${index}`);
  for (let index = 0; index < 9; index++) {
    label('loud', index, load.submit('loud'));
    await rig.advance(50);
  }
  // A job that a gateway wrote to the inbox has no stored result of the count.
  const inboxed = rig.createJob('motions', [load.task], { account: 'loud' });
  rig.store.put({ table: 'inbox', part: 'motions', key: inboxed.id }, encodeJob(inboxed));
  label('loud', 9, { spec: inboxed });
  await rig.advance(50);
  for (let index = 0; index < 4; index++) {
    label('calm', index, load.submit('calm'));
    await rig.advance(50);
  }
  const holder = required(rig.holderOf('motions'));
  if (killsHolder) {
    holder.isDead = true;
    await rig.until(() => rig.holderOf('motions') !== undefined);
  }
  await rig.until(() => rig.fleet.runs().length === 18, 60_000);
  return rig.fleet
    .runs()
    .flatMap(({ task, startedAt }) => {
      const name = labels.get(task.split('.')[0] ?? '');
      return name === undefined ? [] : [{ name, startedAt }];
    })
    .sort((a, b) => a.startedAt - b.startedAt || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

// Guards against a later holder that gives each account a new burst, or that orders jobs otherwise
// than the one that accepted them.
test('a later holder starts the waiting jobs in the same order', async (t) => {
  const expected = await startOrder(false);
  t.log(expected.join(' '));
  t.is(expected.length, 14);
  const beyond = ['loud5', 'loud6', 'loud7', 'loud8', 'loud9'];
  t.deepEqual(new Set(expected.slice(-5)), new Set(beyond));
  t.deepEqual(await startOrder(true), expected);
});

// Guards against an account that fills the holder, so that others are refused.
test('an account above its part of the open jobs is refused, others are not', async (t) => {
  const load = new Load(2, true, HEAVY);
  const { rig } = load;
  await rig.ready();
  await load.run({ loud: 2_100 }, 1_000);
  await rig.advance(50);
  const refused = load.submit('loud');
  const calm = load.submit('calm');
  await rig.advance(100);
  t.is(refused.answer?.reason, RefusalReason.AccountShare);
  t.true(required(refused.answer?.retryAfterMs) >= 2_000);
  t.is(calm.answer?.outcome, CallOutcome.Ok);
});

// Guards against refusals that go on after a configuration without accounts, and against jobs that
// lose their place or their runs when weights change in the middle of a peak.
test('a configuration that changes the accounts in a peak applies at once', async (t) => {
  const load = await overload();
  const { rig } = load;
  const services = ['motions'];
  // Takes the job that its rate may allow again.
  load.submit('loud');
  t.true(await load.isRefused('loud'));
  rig.configure({ version: 2, services, weights: { loud: 8, calm: 4 } });
  await load.run({ loud: 30 }, 1_500);
  const withinRate = Array.from({ length: 10 }, () => load.submit('loud'));
  await rig.advance(200);
  const stored = new Map(rig.store.rowsOfPart('job', 'motions').map((row) => [row.key, row.value]));
  const counted = withinRate.filter(({ spec }) =>
    stored.get(spec.id)?.includes('"isBeyondRate":false'),
  );
  t.true(counted.length > 0, 'the new weight raises the rate');
  rig.configure({ version: 3, services, weights: {} });
  await load.run({ loud: 30 }, 1_500);
  const later = Array.from({ length: 40 }, () => load.submit('loud'));
  await rig.advance(200);
  t.true(later.every(({ answer }) => answer?.outcome === CallOutcome.Ok));
  const accepted = load.sent.filter(({ answer }) => answer?.outcome === CallOutcome.Ok);
  t.true(await rig.until(() => rig.fleet.runs().length >= accepted.length, 60_000));
  await rig.advance(1_000);
  t.deepEqual(rig.violations(), []);
  t.is(rig.fleet.runs().filter(({ end }) => end === RunEnd.Done).length, accepted.length);
});
