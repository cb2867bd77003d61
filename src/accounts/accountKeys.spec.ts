import test, { type ExecutionContext } from 'ava';
import { CallOutcome, type CallAnswer } from '../batch/gateway.js';
import { encodeJob } from '../batch/jobCodec.js';
import { decodeNodeAnswer, decodeNodeCall, NodeCallKind } from '../batch/nodeCalls.js';
import { cancellationId, endedKey, inboxKey, jobKey } from '../batch/rows.js';
import { JobState, RefusalReason, type JobSpec } from '../batch/types.js';
import {
  BatchRig,
  required,
  StoreFault,
  type BatchRigOptions,
  type RigNode,
} from '../testing/batchRig/index.js';
import { accountRuleDefaults } from './defaults.js';
import { KeyRefusalReason, type KeyRefusal } from './errors.js';
import { digestOfKey } from './keyDigest.js';
import type { Account } from './types.js';

const SERVICE = 'motions';
const KEY_A = 'secret-of-acme';
const KEY_Z = 'secret-of-zenith';
const NO_LIMIT = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

function account(name: string, ...keys: string[]): Account {
  const keyDigests = keys.map((key) => digestOfKey(key).toString('hex'));
  return { name, keyDigests, weight: 1, limit: NO_LIMIT };
}

const acme = account('acme', KEY_A);
const zenith = account('zenith', KEY_Z);
const accounts = [acme, zenith];
const accountRules = { ...accountRuleDefaults, areKeysRequired: true, isRevocationStrict: true };

type Key = string | undefined;
/** What a caller learns: the reason of the refusal, or the state or the outcome of the call. */
type Answer = string | undefined;

const toAnswer = ({ outcome, state, reason }: CallAnswer): Answer =>
  state ?? (outcome === CallOutcome.Refused ? reason : outcome);

/** Requests of a caller with a key at one node, answered as the listener for callers does. */
class Caller {
  readonly #rig: BatchRig;
  readonly #node: RigNode;
  readonly #key: Key;

  constructor(rig: BatchRig, node: RigNode, key: Key) {
    this.#rig = rig;
    this.#node = node;
    this.#key = key;
  }

  get #queue() {
    return required(this.#node.node.gateway.matchQueue('host', `/${SERVICE}/`)).queue;
  }

  /** Checks the key alone, without advancing the time. */
  check(): KeyRefusal | string | undefined {
    const res = this.#node.node.gateway.authorize(this.#queue, this.#key);
    return res.isOk ? res.value : res.error;
  }

  reason(): Answer {
    const res = this.check();
    return typeof res === 'object' ? res.code : res;
  }

  async #call(send: (account: string | undefined) => Promise<CallAnswer>): Promise<Answer> {
    const caller = this.check();
    if (typeof caller === 'object') return caller.code;
    return toAnswer(await this.#rig.settle(send(caller)));
  }

  submit(spec: JobSpec): Promise<Answer> {
    return this.#call((name) => {
      const owned = name === undefined ? spec : { ...spec, account: name };
      return this.#node.node.gateway.submit(this.#queue, owned, 3_000);
    });
  }

  status({ id }: JobSpec): Promise<Answer> {
    return this.#call((name) => this.#node.node.gateway.status(this.#queue, id, name));
  }

  cancel({ id }: JobSpec): Promise<Answer> {
    return this.#call((name) => this.#node.node.gateway.cancel(this.#queue, id, name));
  }

  pending(): Promise<Answer> {
    return this.#call(() => this.#node.node.gateway.pending(this.#queue));
  }
}

interface Case {
  title: string;
  rig?: BatchRigOptions;
  run: (t: ExecutionContext, rig: BatchRig, holder: RigNode, other: RigNode) => Promise<void>;
}

const { MissingKey, UnknownKey, StaleConfig } = KeyRefusalReason;
const services = [SERVICE];

// Guards against requests that take effect without a key of the configuration in force, and against
// callers that are refused although their key is valid.
const keyCases: Case[] = [
  {
    title: 'requests with a missing or an unknown key have no effect',
    run: async (t, rig, holder, other) => {
      for (const node of [holder, other]) {
        for (const [key, reason] of [
          [undefined, MissingKey],
          ['guess', UnknownKey],
        ] as const) {
          const caller = new Caller(rig, node, key);
          const spec = rig.createJob(SERVICE, [{ count: 1 }]);
          t.is(await caller.submit(spec), reason);
          t.is(await caller.status(spec), reason);
          t.is(await caller.cancel(spec), reason);
          t.is(await caller.pending(), reason);
          t.is(node.counters.value('unauthorized_requests', reason), 4);
        }
      }
      await rig.advance(2_000);
      t.is(rig.fleet.runs().length, 0);
      const lines = other.logLines.filter((line) => line.includes('event=request_unauthorized'));
      t.regex(lines.join(''), /queue=motions reason=unknown_key config=1 age_ms=\d+/);
      t.true(lines.length <= 2, lines.join(''));
    },
  },
  {
    title: 'a public queue needs no key, inspects none, and its jobs belong to no account',
    run: async (t, rig, _holder, other) => {
      rig.configure({ version: 2, services, accounts, publicQueues: services });
      await rig.advance(1_000);
      for (const key of [undefined, 'guess', KEY_A]) {
        const caller = new Caller(rig, other, key);
        const spec = rig.createJob(SERVICE, [{ count: 1 }]);
        t.is(await caller.submit(spec), CallOutcome.Ok);
        const row = rig.store.rowsOfPart('job', SERVICE).find((entry) => entry.key === spec.id);
        t.notRegex(row?.value ?? '', /account/);
        t.is(await caller.status(spec), JobState.Running);
        t.is(await caller.pending(), CallOutcome.Ok);
        t.is(await caller.cancel(spec), CallOutcome.Ok);
      }
    },
  },
  {
    title: 'a removed key is refused and an added one accepted once the configuration is read',
    run: async (t, rig, holder, other) => {
      for (const node of [holder, other]) t.is(new Caller(rig, node, KEY_A).reason(), 'acme');
      rig.configure({ version: 2, services, accounts: [account('acme', 'new'), zenith] });
      await rig.advance(100);
      for (const node of [holder, other]) {
        t.is(new Caller(rig, node, KEY_A).reason(), UnknownKey);
        t.is(new Caller(rig, node, 'new').reason(), 'acme');
        t.is(new Caller(rig, node, KEY_Z).reason(), 'zenith');
      }
    },
  },
  {
    title: 'removing all accounts leaves keys required by the settings',
    run: async (t, rig, holder) => {
      rig.configure({ version: 2, services });
      await rig.advance(100);
      t.is(new Caller(rig, holder, KEY_A).reason(), UnknownKey);
      t.is(new Caller(rig, holder, undefined).reason(), MissingKey);
    },
  },
  {
    // Guards against callers with an unknown key that are told to come back, although the node is in
    // contact with the store: the age between two answers of the feed has to stay below 2 s.
    title: 'at a node in contact with the store, an unknown key is always answered as such',
    run: async (t, rig, _holder, other) => {
      const reasons = new Set<unknown>();
      const validAnswers = new Set<unknown>();
      for (let step = 0; step < 1_000; step++) {
        await rig.advance(7);
        reasons.add(new Caller(rig, other, 'guess').reason());
        validAnswers.add(new Caller(rig, other, KEY_A).reason());
      }
      t.deepEqual([...reasons], [UnknownKey]);
      t.deepEqual([...validAnswers], ['acme']);
    },
  },
  {
    title: 'without accounts, keys are not inspected and the operator feed is read as before',
    rig: { accounts: undefined, accountRules: undefined },
    run: async (t, rig, _holder, other) => {
      for (const key of [undefined, 'guess']) {
        const spec = rig.createJob(SERVICE, [{ count: 1 }]);
        t.is(await new Caller(rig, other, key).submit(spec), CallOutcome.Ok);
        await rig.advance(2_000);
        t.is(await new Caller(rig, other, 'any').status(spec), JobState.Succeeded);
        const ended = rig.store.rowsOfPart('ended', SERVICE).find((row) => row.key === spec.id);
        t.is(ended?.value, 'succeeded');
      }
      const readsBefore = rig.store.tableReads.get(`${other.name} operator`) ?? 0;
      await rig.advance(10_040);
      const reads = (rig.store.tableReads.get(`${other.name} operator`) ?? 0) - readsBefore;
      t.true(reads <= 11, `${reads} reads`);
    },
  },
];

const faults: [title: string, fault: StoreFault][] = [
  ['does not answer', StoreFault.DropCall],
  ['refuses its calls', StoreFault.Refuse],
];

/** Long-poll duration of the operator feed where accounts are used. */
const FEED_WAIT_MS = 700;
/** Time for which a node may act on a configuration that it cannot confirm, in milliseconds. */
const STRICT_AGE_MS = 4_000;

// Guards against a removed key that is still accepted later than 5 s after its removal.
const revocationCases: Case[] = [
  ...faults.map(([title, fault]): Case => ({
    title: `a node to which the store ${title} accepts no removed key later than 5 s`,
    run: async (t, rig, _holder, other) => {
      const cutAt = rig.clock.now();
      rig.store.faults.set(other.name, fault);
      rig.configure({ version: 2, services, accounts: [zenith] });
      const caller = new Caller(rig, other, KEY_A);
      let acceptedUntil = 0;
      const reasons = new Set<unknown>();
      while (rig.clock.now() < cutAt + 12_000) {
        const reason = caller.reason();
        if (reason === 'acme') acceptedUntil = rig.clock.now() - cutAt;
        else reasons.add(reason);
        await rig.advance(20);
      }
      t.true(acceptedUntil < 5_000, `accepted until ${acceptedUntil} ms`);
      // Callers are served for as long as the bound allows.
      t.true(acceptedUntil > 2_500, `accepted until ${acceptedUntil} ms`);
      t.deepEqual([...reasons], [StaleConfig]);
      t.is(new Caller(rig, other, KEY_Z).reason(), StaleConfig);
      t.is(new Caller(rig, other, undefined).reason(), MissingKey);
      const refusal = caller.check();
      t.is(typeof refusal === 'object' && refusal.retryAfterMs, 1_000);
      rig.store.faults.clear();
      await rig.advance(3_000);
      t.is(caller.reason(), UnknownKey);
      t.is(new Caller(rig, other, KEY_Z).reason(), 'zenith');
    },
  })),
  {
    title: 'where revocation is not strict, known keys are served for as long as the store is away',
    rig: { accountRules: { ...accountRules, isRevocationStrict: false } },
    run: async (t, rig, _holder, other) => {
      rig.store.faults.set(other.name, StoreFault.DropCall);
      await rig.advance(60_000);
      t.is(new Caller(rig, other, KEY_A).reason(), 'acme');
      t.is(new Caller(rig, other, 'guess').reason(), StaleConfig);
    },
  },
  {
    title: 'a key that was added during a cut is not answered as unknown',
    run: async (t, rig, _holder, other) => {
      const cutAt = rig.clock.now();
      rig.store.faults.set(other.name, StoreFault.DropCall);
      rig.configure({ version: 2, services, accounts: [...accounts, account('newcomer', 'new')] });
      const caller = new Caller(rig, other, 'new');
      while (rig.clock.now() < cutAt + 8_000) {
        const isLate = rig.clock.now() > cutAt + 3_000;
        if (isLate) t.is(caller.reason(), StaleConfig);
        await rig.advance(100);
      }
      rig.store.faults.clear();
      await rig.advance(3_000);
      t.is(caller.reason(), 'newcomer');
    },
  },
  {
    title: 'a node that was frozen while its key was removed does not accept it when it resumes',
    run: async (t, rig, _holder, other) => {
      const caller = new Caller(rig, other, KEY_A);
      t.is(caller.reason(), 'acme');
      rig.configure({ version: 2, services, accounts: [zenith] });
      // The monotonic clock stood still; nothing that arrived meanwhile has been handled yet.
      other.wallOffsetMs = 5_000;
      t.is(caller.reason(), StaleConfig);
      await rig.advance(1_500);
      t.is(caller.reason(), UnknownKey);
    },
  },
  {
    title: 'an answer of the feed that waited in a frozen process confirms nothing',
    run: async (t, rig, _holder, other) => {
      const feedCalls = () => rig.store.tableReads.get(`${other.name} operator`) ?? 0;
      const callsBefore = feedCalls();
      while (feedCalls() === callsBefore) await rig.advance(1);
      // The store has answered the call, and the answer is on its way.
      await rig.advance(FEED_WAIT_MS + 6);
      t.is(feedCalls(), callsBefore + 1);
      rig.configure({ version: 2, services, accounts: [zenith] });
      other.wallOffsetMs = 6_000;
      await rig.advance(4);
      t.is(feedCalls(), callsBefore + 2);
      t.is(other.node.config?.version, 1);
      t.is(new Caller(rig, other, KEY_A).reason(), StaleConfig);
      await rig.advance(100);
      t.is(new Caller(rig, other, KEY_A).reason(), UnknownKey);
    },
  },
  {
    title: 'a wall clock that was set back does not extend the validity of a removed key',
    run: async (t, rig, _holder, other) => {
      rig.store.faults.set(other.name, StoreFault.DropCall);
      rig.configure({ version: 2, services, accounts: [zenith] });
      other.wallOffsetMs = -60_000;
      await rig.advance(STRICT_AGE_MS + 10);
      t.is(new Caller(rig, other, KEY_A).reason(), StaleConfig);
    },
  },
  {
    title: 'a removed key does not become valid by a late write of an older configuration',
    run: async (t, rig, _holder, other) => {
      rig.configure({ version: 3, services, accounts: [zenith] });
      await rig.advance(200);
      rig.configure({ version: 2, services, accounts });
      await rig.advance(2_000);
      t.is(new Caller(rig, other, KEY_A).reason(), UnknownKey);
      t.is(other.node.config?.version, 3);
    },
  },
  {
    title: 'a removed key stays removed after the feed lost its history',
    run: async (t, rig, _holder, other) => {
      rig.store.faults.set(other.name, StoreFault.DropCall);
      await rig.advance(1_500);
      rig.configure({ version: 2, services, accounts: [zenith] });
      rig.store.dropHistory();
      rig.store.faults.clear();
      await rig.advance(4_000);
      t.is(new Caller(rig, other, KEY_A).reason(), UnknownKey);
      t.is(new Caller(rig, other, KEY_Z).reason(), 'zenith');
    },
  },
  {
    title: 'a key that was removed before a restart is not valid after it',
    run: async (t, rig, _holder, other) => {
      other.isDead = true;
      rig.configure({ version: 2, services, accounts: [zenith] });
      const restarted = rig.addNode(other.name);
      t.true(await rig.until(() => restarted.node.config !== undefined));
      t.is(new Caller(rig, restarted, KEY_A).reason(), UnknownKey);
      t.is(new Caller(rig, restarted, KEY_Z).reason(), 'zenith');
    },
  },
];

const away: [isAway: boolean, title: string][] = [
  [false, 'with the holder alive'],
  [true, 'with the holder out of reach'],
];

/** Makes the holder unreachable from a node, so that the node has to use the store. */
function setAway(rig: BatchRig, isAway: boolean, holder: RigNode, other: RigNode): void {
  if (isAway) rig.cutLink(other.name, holder.name);
}

// Guards against accounts that see, stop or overwrite each other's jobs.
const jobCases: Case[] = away.flatMap(([isAway, where]): Case[] => [
  {
    title: `another account can neither read nor cancel an open job, ${where}`,
    run: async (t, rig, holder, other) => {
      rig.fleet.script = (task) => ({ runMs: task.includes('.0.0.') ? 100 : 20_000 });
      const owner = new Caller(rig, other, KEY_A);
      const stranger = new Caller(rig, other, KEY_Z);
      const spec = rig.createJob(SERVICE, [{ count: 1 }, { count: 1, after: [0] }]);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 2);
      await rig.advance(200);
      setAway(rig, isAway, holder, other);
      t.is(await stranger.status(spec), CallOutcome.NotFound);
      t.is(await stranger.cancel(spec), CallOutcome.NotFound);
      await rig.advance(1_000);
      t.is(rig.fleet.runs()[1]?.end, undefined);
      t.is(await owner.status(spec), JobState.Running);
      t.is(await owner.cancel(spec), CallOutcome.Ok);
      await rig.advance(1_000);
      t.not(rig.fleet.runs()[1]?.end, undefined);
      t.is(await owner.status(spec), JobState.Cancelled);
    },
  },
  {
    title: `another account can neither read nor cancel an ended job, ${where}`,
    run: async (t, rig, holder, other) => {
      const owner = new Caller(rig, other, KEY_A);
      const stranger = new Caller(rig, other, KEY_Z);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.advance(3_000);
      setAway(rig, isAway, holder, other);
      t.is(await owner.status(spec), JobState.Succeeded);
      t.is(await stranger.status(spec), CallOutcome.NotFound);
      t.is(await stranger.cancel(spec), CallOutcome.NotFound);
      t.is(await owner.cancel(spec), JobState.Succeeded);
    },
  },
  {
    title: `the id of an open job of another account is refused and nothing changes, ${where}`,
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 4_000 });
      const owner = new Caller(rig, other, KEY_A);
      const stranger = new Caller(rig, other, KEY_Z);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.advance(500);
      setAway(rig, isAway, holder, other);
      const rowsBefore = storedJobs(rig);
      t.is(
        await stranger.submit({ ...spec, payload: 'other work', steps: [...spec.steps] }),
        RefusalReason.IdInUse,
      );
      t.deepEqual(storedJobs(rig), rowsBefore);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.advance(5_000);
      t.is(await owner.status(spec), JobState.Succeeded);
      t.is(rig.fleet.runs().length, 1);
    },
  },
  {
    title: `the id of an ended job of another account is refused, ${where}`,
    run: async (t, rig, holder, other) => {
      const owner = new Caller(rig, other, KEY_A);
      const stranger = new Caller(rig, other, KEY_Z);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.advance(3_000);
      setAway(rig, isAway, holder, other);
      t.is(await stranger.submit(spec), RefusalReason.IdInUse);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      t.is(await owner.status(spec), JobState.Succeeded);
      await rig.advance(2_000);
      t.is(rig.fleet.runs().length, 1);
    },
  },
  {
    title: `a job of a public queue is not the same as one of an account with its id, ${where}`,
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await new Caller(rig, other, KEY_A).submit(spec), CallOutcome.Ok);
      rig.configure({ version: 2, services, accounts, publicQueues: services });
      await rig.advance(500);
      setAway(rig, isAway, holder, other);
      const anyone = new Caller(rig, other, undefined);
      t.is(await anyone.submit(spec), RefusalReason.IdInUse);
      t.is(await anyone.status(spec), CallOutcome.NotFound);
      t.is(await anyone.cancel(spec), CallOutcome.NotFound);
    },
  },
]);

/** Values of the rows of jobs that are open or wait in the inbox. */
function storedJobs(rig: BatchRig): string[] {
  return ['job', 'inbox', 'ended'].flatMap((table) =>
    rig.store.rowsOfPart(table, SERVICE).map(({ value }) => value),
  );
}

const storeCases: Case[] = [
  {
    // Guards against an owner that is lost with the holder.
    title: 'a job that was accepted through the store belongs to its account after a takeover',
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      rig.cutLink(other.name, holder.name);
      const owner = new Caller(rig, other, KEY_A);
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 1);
      holder.isDead = true;
      t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
      await rig.advance(1_000);
      const node = required(rig.nodes.find((entry) => !entry.isDead && entry !== other));
      for (const at of [node, other]) {
        t.is(await new Caller(rig, at, KEY_Z).status(spec), CallOutcome.NotFound);
        t.is(await new Caller(rig, at, KEY_Z).submit(spec), RefusalReason.IdInUse);
        t.not(await new Caller(rig, at, KEY_A).status(spec), CallOutcome.NotFound);
        t.is(await new Caller(rig, at, KEY_A).submit(spec), CallOutcome.Ok);
      }
      t.is(await new Caller(rig, node, KEY_Z).cancel(spec), CallOutcome.NotFound);
      await rig.advance(500);
      t.is(rig.fleet.runs()[0]?.end, undefined);
    },
  },
  {
    // Guards against a cancellation that is applied late and ends a later job of another account.
    title: 'a cancellation through the store ends only a job of its account',
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await new Caller(rig, holder, KEY_Z).submit(spec), CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 1);
      for (const name of ['acme', undefined]) {
        rig.store.put(inboxKey(SERVICE, cancellationId(spec.id, name)), spec.id);
      }
      await rig.advance(2_000);
      t.is(rig.fleet.runs()[0]?.end, undefined);
      rig.store.put(inboxKey(SERVICE, cancellationId(spec.id, 'zenith')), spec.id);
      await rig.advance(1_000);
      t.not(rig.fleet.runs()[0]?.end, undefined);
    },
  },
  {
    // Guards against rows of cancellations that a new holder takes for jobs.
    title: 'a new holder carries out a cancellation that waits in the store',
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 60_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      const owner = new Caller(rig, other, KEY_A);
      t.is(await owner.submit(spec), CallOutcome.Ok);
      await rig.until(() => rig.fleet.runs().length === 1);
      holder.isDead = true;
      t.is(await owner.cancel(spec), CallOutcome.Ok);
      t.true(await rig.until(() => rig.holderOf(SERVICE) !== undefined));
      await rig.advance(2_000);
      t.is(await owner.status(spec), JobState.Cancelled);
      t.deepEqual(rig.store.rowsOfPart('inbox', SERVICE), []);
      const lines = rig.nodes.flatMap(({ logLines }) => logLines).join('');
      t.notRegex(lines, /job_row_unreadable/);
      t.is(await new Caller(rig, other, KEY_Z).status(spec), CallOutcome.NotFound);
    },
  },
  {
    // Guards against a row that is overwritten by a second submission in the same moment, so that the
    // job belongs to the other account after a takeover.
    title: 'of two accounts that submit one id at the same time, one is accepted',
    run: async (t, rig, holder) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      const answers = await Promise.all([
        new Caller(rig, holder, KEY_A).submit(spec),
        new Caller(rig, holder, KEY_Z).submit({ ...spec, payload: 'other work' }),
        new Caller(rig, holder, KEY_A).submit(spec),
      ]);
      t.deepEqual(answers, [CallOutcome.Ok, RefusalReason.IdInUse, CallOutcome.Ok]);
      await rig.advance(500);
      const [row] = rig.store.rowsOfPart('job', SERVICE);
      t.regex(row?.value ?? '', /"account":"acme"/);
      t.notRegex(row?.value ?? '', /other work/);
      t.is(rig.fleet.runs().length, 1);
    },
  },
  {
    // Guards against a submission that the holder takes for the repetition of a job that another
    // account put into the store just before.
    title: 'a holder refuses an id that another account has put into the store',
    run: async (t, rig, holder) => {
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      rig.store.delays.set(`${holder.name} inbox`, 1_000);
      await rig.advance(3_000);
      const row = { ...spec, account: 'acme' };
      rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(row));
      t.is(await new Caller(rig, holder, KEY_Z).submit(spec), RefusalReason.IdInUse);
      t.is(await new Caller(rig, holder, KEY_A).submit(spec), CallOutcome.Ok);
      await rig.advance(4_000);
      t.is(rig.fleet.runs().length, 1);
      t.is(await new Caller(rig, holder, KEY_A).status(spec), JobState.Succeeded);
    },
  },
  {
    // Guards against an accepted job that is reported as another account's because the store did not
    // answer.
    title: 'a node that the store rejects confirms an accepted job to its account only',
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await new Caller(rig, other, KEY_A).submit(spec), CallOutcome.Ok);
      rig.store.faults.set(other.name, StoreFault.Refuse);
      await rig.advance(1_500);
      t.is(await new Caller(rig, other, KEY_A).submit(spec), CallOutcome.Ok);
      t.is(await new Caller(rig, other, KEY_Z).submit(spec), RefusalReason.IdInUse);
      const unknown = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await new Caller(rig, other, KEY_Z).submit(unknown), RefusalReason.StoreSuspect);
      t.is(holder.isDead, false);
    },
  },
  {
    // Guards against an answer that leaves open whether a job was accepted although it was not.
    title: 'an id in use is refused even after an attempt without an answer',
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      t.is(await new Caller(rig, holder, KEY_A).submit(spec), CallOutcome.Ok);
      rig.cutLink(other.name, holder.name);
      rig.store.faults.set(other.name, StoreFault.Refuse);
      const answer = new Caller(rig, other, KEY_Z).submit(spec);
      await rig.advance(730);
      rig.restoreLink(other.name, holder.name);
      t.is(await answer, RefusalReason.IdInUse);
    },
  },
  {
    title: 'rows that name no account, as written before accounts were used, are open to callers',
    run: async (t, rig, holder, other) => {
      rig.fleet.script = () => ({ runMs: 20_000 });
      const spec = rig.createJob(SERVICE, [{ count: 1 }]);
      const ended = rig.createJob(SERVICE, [{ count: 1 }]);
      rig.store.put(inboxKey(SERVICE, spec.id), encodeJob(spec));
      rig.store.put(endedKey(SERVICE, ended.id), 'failed');
      await rig.until(() => rig.fleet.runs().length === 1);
      for (const node of [holder, other]) {
        t.is(await new Caller(rig, node, KEY_A).status(spec), JobState.Running);
        t.is(await new Caller(rig, node, KEY_A).status(ended), JobState.Failed);
      }
      t.is(await new Caller(rig, other, KEY_A).cancel(spec), CallOutcome.Ok);
    },
  },
  {
    // Guards against a caller that is told that its job never existed.
    title: 'a row that cannot be decoded leaves the answer open',
    run: async (t, rig, holder, other) => {
      const owner = new Caller(rig, other, KEY_A);
      for (const [key, value] of [
        [endedKey, '{"state":"succeeded"}'],
        [endedKey, 'nonsense'],
        [jobKey, '{"id":'],
      ] as const) {
        const spec = rig.createJob(SERVICE, [{ count: 1 }]);
        rig.store.put(key(SERVICE, spec.id), value);
        t.is(await owner.status(spec), CallOutcome.Unknown);
        t.is(await owner.cancel(spec), CallOutcome.Unknown);
        rig.cutLink(other.name, holder.name);
        t.is(await owner.submit(spec), CallOutcome.Unknown);
        rig.restoreLink(other.name, holder.name);
      }
    },
  },
  {
    // Guards against keys in the places that operators and other accounts can read.
    title: 'keys appear in no log line, metric, row or call',
    run: async (t, rig, holder, other) => {
      const calls: string[] = [];
      rig.store.onTransaction = (_node, tx) => calls.push(JSON.stringify(tx));
      for (const node of [holder, other]) {
        for (const key of [KEY_A, KEY_Z, 'secret-guess', undefined]) {
          const caller = new Caller(rig, node, key);
          const spec = rig.createJob(SERVICE, [{ count: 1 }]);
          await caller.submit(spec);
          await caller.status(spec);
          await caller.cancel(spec);
        }
      }
      rig.configure({ version: 2, services, accounts: [account('acme', 'secret-new')] });
      await rig.advance(3_000);
      const lines = rig.nodes.flatMap(({ logLines }) => logLines).join('');
      const counters = rig.nodes.flatMap((node) => [...node.counters.entries()]);
      const rows = [...rig.store.rows.values()].filter(({ table }) => table !== 'operator');
      const texts = [lines, JSON.stringify(counters), JSON.stringify(rows), calls.join('')];
      for (const text of texts) {
        t.notRegex(text, /secret/);
        for (const { keyDigests } of accounts) t.false(text.includes(required(keyDigests[0])));
      }
      t.regex(lines, /event=job_accepted .*account=acme/);
      t.regex(lines, /event=job_ended .*account=zenith/);
    },
  },
];

const calls: [title: string, fields: object, isValid: boolean][] = [
  ['a cancellation without account', { kind: NodeCallKind.Cancel, job: 'j' }, true],
  ['a cancellation by an account', { kind: NodeCallKind.Cancel, job: 'j', account: 'acme' }, true],
  ['an account that is no text', { kind: NodeCallKind.Cancel, job: 'j', account: 5 }, false],
  [
    'a job whose account is no text',
    {
      kind: NodeCallKind.Submit,
      spec: { id: 'j', queue: 'q', payload: '', steps: [{ after: [] }], account: null },
    },
    false,
  ],
];

for (const [title, fields, isValid] of calls) {
  // Guards against a job that is bound to a malformed account.
  test(`call from another node: ${title}`, (t) => {
    t.is(decodeNodeCall({ service: SERVICE, ...fields }) !== undefined, isValid);
  });
}

test('an answer from another node with a malformed account is not used', (t) => {
  t.is(decodeNodeAnswer({ isHolder: true, state: 'running', account: 5 }), undefined);
  t.truthy(decodeNodeAnswer({ isHolder: true, state: 'running', account: 'acme' }));
});

for (const { title, rig: options, run } of [
  ...keyCases,
  ...revocationCases,
  ...jobCases,
  ...storeCases,
]) {
  test(title, async (t) => {
    const rig = new BatchRig({ nodes: 3, accounts, accountRules, ...options });
    await rig.ready();
    const holder = required(rig.holderOf(SERVICE));
    const other = required(rig.nodes.find((node) => node !== holder));
    await run(t, rig, holder, other);
    t.deepEqual(rig.violations(), []);
  });
}
