import test from 'ava';
import { Outcome } from '../peers/index.js';
import { expectedAnswer, HistoryRule, RequestHistory } from './requestHistory.js';

interface HistoryCase {
  title: string;
  record: (history: RequestHistory) => void;
  broken: HistoryRule[];
}

const answered = { outcome: Outcome.Answered, body: expectedAnswer('x') } as const;
const notRun = { outcome: Outcome.NotRun } as const;
const unknown = { outcome: Outcome.Unknown } as const;

const cases: HistoryCase[] = [
  {
    title: 'a retry that runs after a refusal',
    record: (history) => {
      history.startAttempt('x', false)(notRun);
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(answered);
    },
    broken: [],
  },
  {
    title: 'a run whose outcome stays unknown',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(unknown);
      history.startAttempt('x', false)(unknown);
    },
    broken: [],
  },
  {
    title: 'a late run after an unknown outcome',
    record: (history) => {
      history.startAttempt('x', false)(unknown);
      history.recordRun('x');
    },
    broken: [],
  },
  {
    title: 'a second run',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      history.recordRun('x');
      end(answered);
    },
    broken: [HistoryRule.RunsAtMostOnce],
  },
  {
    title: 'a second run of an idempotent request',
    record: (history) => {
      const end = history.startAttempt('x', true);
      history.recordRun('x');
      history.recordRun('x');
      end(answered);
    },
    broken: [],
  },
  {
    title: 'a refusal as not run after a run',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end(notRun);
    },
    broken: [HistoryRule.NotRunIsCorrect],
  },
  {
    title: 'a run after the refusal of its only attempt',
    record: (history) => {
      history.startAttempt('x', false)(notRun);
      history.recordRun('x');
    },
    broken: [HistoryRule.NotRunIsCorrect],
  },
  {
    title: 'the answer to another request',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('y') });
    },
    broken: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'a part of the answer',
    record: (history) => {
      const end = history.startAttempt('x', false);
      history.recordRun('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('x').slice(0, -1) });
    },
    broken: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'an answer without a run',
    record: (history) => {
      history.startAttempt('x', false)(answered);
    },
    broken: [HistoryRule.AnswerBelongsToRequest],
  },
  {
    title: 'an attempt without end',
    record: (history) => {
      history.startAttempt('x', false);
    },
    broken: [HistoryRule.EndsOnce],
  },
  {
    title: 'an attempt with two ends',
    record: (history) => {
      const end = history.startAttempt('x', false);
      end(unknown);
      end(unknown);
    },
    broken: [HistoryRule.EndsOnce],
  },
];

for (const { title, record, broken } of cases) {
  test(`history with ${title}`, (t) => {
    const history = new RequestHistory({ now: () => 0 });
    record(history);
    t.deepEqual(
      history.violations().map(({ rule }) => rule),
      broken,
    );
  });
}
