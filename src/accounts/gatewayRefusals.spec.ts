import test from 'ava';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { Counters } from '../batch/counters.js';
import { DecisionLog } from '../batch/decisionLog.js';
import { CallOutcome, Gateway, type CallAnswer } from '../batch/gateway.js';
import {
  HolderCallError,
  HolderCallErrorCode,
  type HolderDirectory,
} from '../batch/holderDirectory.js';
import { RefusalReason } from '../batch/index.js';
import { encodeJob } from '../batch/jobCodec.js';
import { JobIds } from '../batch/jobIds.js';
import { MonitoredStore } from '../batch/monitoredStore.js';
import { QueueAssignments } from '../batch/queueAssignments.js';
import { endedKey, inboxKey, jobKey } from '../batch/rows.js';
import { BatchRig, FakeRowStore, StoreFault } from '../testing/batchRig/index.js';
import { createVirtualClock } from '../testing/index.js';
import { KeyRegistry } from './keyRegistry.js';

const SERVICE = 'motions';
const RETRY_AFTER_MS = 3_000;

type HolderReply = Awaited<ReturnType<HolderDirectory['call']>>;

const refuse = (reason: RefusalReason): HolderReply =>
  Result.ok({
    isHolder: true,
    submitted: { isAccepted: false, reason, retryAfterMs: RETRY_AFTER_MS },
  });
const hopeless = refuse(RefusalReason.Hopeless);
const noAnswer: HolderReply = Result.err(
  new HolderCallError(HolderCallErrorCode.NoAnswer, 'no answer'),
);

interface Setup {
  store: FakeRowStore;
  clock: Clock;
  submit: () => Promise<CallAnswer>;
  /** Ends the fault; the gateway has learned of it afterwards. */
  restoreStore: () => Promise<void>;
  failFor: (fault: StoreFault, ms: number) => void;
  id: string;
  spec: string;
}

interface Case {
  title: string;
  /** Replies of the holder in turn; the last one is repeated. */
  replies: HolderReply[];
  prepare?: (setup: Setup) => void | Promise<void>;
  /** Fault of the store until the given time in milliseconds. */
  fault?: { kind: StoreFault; endsAtMs: number };
  outcomes: CallOutcome[];
}

const { Ok, Refused, Unknown } = CallOutcome;

const cases: Case[] = [
  { title: 'a job that nobody knows is refused', replies: [hopeless], outcomes: [Refused] },
  {
    title: "a job above its account's part is refused",
    replies: [refuse(RefusalReason.AccountShare)],
    outcomes: [Refused],
  },
  {
    title: 'a job in the inbox that its holder has not read is accepted',
    replies: [hopeless],
    prepare: ({ store, id, spec }) => {
      store.put(inboxKey(SERVICE, id), spec);
    },
    outcomes: [Ok],
  },
  {
    title: 'a job that a later holder has accepted is accepted',
    replies: [hopeless],
    prepare: ({ store, id, spec }) => {
      store.put(jobKey(SERVICE, id), spec);
    },
    outcomes: [Ok],
  },
  {
    title: 'a job that ended long ago is accepted',
    replies: [hopeless],
    prepare: ({ store, id }) => {
      store.put(endedKey(SERVICE, id), 'succeeded');
    },
    outcomes: [Ok],
  },
  {
    title: 'a job that ends while its rows are read is accepted',
    replies: [hopeless],
    prepare: ({ store, clock, id, spec }) => {
      store.put(inboxKey(SERVICE, id), spec);
      store.delays.set('node inbox', 30);
      clock.setTimer(20, () => {
        store.remove(inboxKey(SERVICE, id));
        store.put(endedKey(SERVICE, id), 'succeeded');
      });
    },
    outcomes: [Ok],
  },
  {
    title: 'a job is accepted when the rows cannot be read at first',
    replies: [hopeless],
    prepare: async ({ restoreStore, failFor }) => {
      await restoreStore();
      failFor(StoreFault.Refuse, 5);
    },
    outcomes: [Ok],
  },
  {
    title: 'a job whose write to the store may have been applied is not refused',
    replies: [noAnswer, hopeless],
    fault: { kind: StoreFault.ApplyLate, endsAtMs: 60_000 },
    outcomes: [Ok, Unknown],
  },
  {
    title: 'a job whose write may still be applied is not refused, whatever the holder says',
    replies: [noAnswer, hopeless],
    fault: { kind: StoreFault.DropCall, endsAtMs: 60_000 },
    outcomes: [Unknown],
  },
  {
    title: 'a job that was sent again after its outcome was unknown is not refused',
    replies: [noAnswer, noAnswer, noAnswer, hopeless],
    fault: { kind: StoreFault.DropCall, endsAtMs: 60_000 },
    prepare: async ({ submit, restoreStore }) => {
      await submit();
      await restoreStore();
    },
    outcomes: [Ok],
  },
];

// Guards against a refusal, after which a caller submits its work elsewhere, of a job that still runs.
for (const { title, replies, prepare, fault, outcomes } of cases) {
  test(`a refusal under load: ${title}`, async (t) => {
    const clock = createVirtualClock();
    const store = new FakeRowStore(clock);
    const monitored = new MonitoredStore(store.clientOf('node'), clock);
    let calls = 0;
    const holders = {
      call: async () => {
        await clock.sleep(1);
        return replies[Math.min(calls++, replies.length - 1)];
      },
    } as unknown as HolderDirectory;
    const rig = new BatchRig({ nodes: 1 });
    await rig.ready();
    const queue = rig.queue(SERVICE);
    const shared = {
      store: monitored,
      clock,
      log: new DecisionLog({ write: () => true }, clock),
      counters: new Counters(),
      keys: new KeyRegistry({ clock }),
    };
    const config = () => rig.nodes[0]?.node.config;
    const assignments = new QueueAssignments({ ...shared, config });
    // The queue has been used before the fault begins.
    const isRecorded = assignments.record(queue, SERVICE);
    await clock.advance(20);
    await isRecorded;
    const ids = new JobIds({ ...shared, assignments });
    const gateway = new Gateway({
      ...shared,
      ids,
      assignments,
      config: () => undefined,
      holders,
    });
    const spec = rig.createJob(SERVICE, [{}], { account: 'loud' });
    const failFor = (kind: StoreFault, ms: number) => {
      store.faults.set('node', kind);
      clock.setTimer(ms, () => {
        store.faults.clear();
      });
    };
    if (fault) failFor(fault.kind, fault.endsAtMs);
    const submit = async (): Promise<CallAnswer> => {
      let answer: CallAnswer | undefined;
      const pending = gateway.submit(queue, spec, 3_000).then((its) => (answer = its));
      for (let step = 0; step < 100 && !answer; step++) await clock.advance(50);
      return pending;
    };
    const restoreStore = async () => {
      store.faults.clear();
      const read = monitored.readRow(inboxKey(SERVICE, ''));
      await clock.advance(100);
      await read;
    };
    await prepare?.({
      store,
      clock,
      submit,
      restoreStore,
      failFor,
      id: spec.id,
      spec: encodeJob(spec),
    });
    const answer = await submit();
    t.true(outcomes.includes(answer.outcome), `${answer.outcome}: ${answer.reason ?? ''}`);
    if (answer.outcome !== Refused) return;
    t.is(answer.retryAfterMs, RETRY_AFTER_MS);
    const keys = [inboxKey, jobKey].map((key) => key(SERVICE, spec.id));
    for (const { table, key } of keys)
      t.false(store.rowsOfPart(table, SERVICE).some((row) => row.key === key));
  });
}
