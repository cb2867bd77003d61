import test from 'ava';
import { Outcome } from '../peers/index.js';
import { expectedAnswer, HistoryRule, RequestHistory } from './requestHistory.js';

interface HistoryCase {
  title: string;
  record: (history: RequestHistory) => void;
  violatedRules: HistoryRule[];
}

const answered = { outcome: Outcome.Answered, body: expectedAnswer('x') } as const;
const notRun = { outcome: Outcome.NotRun } as const;
const unknown = { outcome: Outcome.Unknown } as const;

const cases: HistoryCase[] = [
  {
    title: 'a retry that runs after a not-run refusal is valid',
    record: (history) => {
      history.startAttempt('x', false)(notRun);
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(answered);
    },
    violatedRules: [],
  },
  {
    title: 'a run whose outcome stays unknown is valid',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(unknown);
      history.startAttempt('x', false)(unknown);
    },
    violatedRules: [],
  },
  {
    title: 'a late run after an unknown outcome is valid',
    record: (history) => {
      history.startAttempt('x', false)(unknown);
      history.recordRun('x');
    },
    violatedRules: [],
  },
  {
    title: 'a second run violates the limit of one run',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      history.recordRun('x');
      end(answered);
    },
    violatedRules: [HistoryRule.RunsAtMostOnce],
  },
  {
    title: 'a second run of an idempotent request is valid',
    record: (history) => {
      const end = history.startAttempt('x', true);
      history.recordRun('x');
      history.recordRun('x');
      end(answered);
    },
    violatedRules: [],
  },
  {
    title: 'a not-run refusal after a run is false',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(notRun);
    },
    violatedRules: [HistoryRule.NotRunIsCorrect],
  },
  {
    title: 'a run after the not-run refusal of its only attempt makes the refusal false',
    record: (history) => {
      history.startAttempt('x', false)(notRun);
      history.recordRun('x');
    },
    violatedRules: [HistoryRule.NotRunIsCorrect],
  },
  {
    title: 'the answer to another request is rejected',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('y') });
    },
    violatedRules: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'an incomplete answer is rejected',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('x').slice(0, -1) });
    },
    violatedRules: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'an answer without a run is rejected',
    record: (history) => {
      history.startAttempt('x', false)(answered);
    },
    violatedRules: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'an attempt that never ends is reported',
    record: (history) => {
      history.startAttempt('x', false);
    },
    violatedRules: [HistoryRule.EndsOnce],
  },
  {
    title: 'an attempt that ends twice is reported',
    record: (history) => {
      const end = history.startAttempt('x', false);
      end(unknown);
      end(unknown);
    },
    violatedRules: [HistoryRule.EndsOnce],
  },
];

for (const { title, record, violatedRules } of cases) {
  test(`request history: ${title}`, (t) => {
    const history = new RequestHistory({ now: () => 0 });
    record(history);
    t.deepEqual(
      history.violations().map(({ rule }) => rule),
      violatedRules,
    );
  });
}
