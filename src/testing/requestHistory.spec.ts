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
      history.begin('x', false)(notRun);
      const end = history.begin('x', false);
      history.ran('x');
      end(answered);
    },
    broken: [],
  },
  {
    title: 'a run whose outcome stays unknown',
    record: (history) => {
      const end = history.begin('x', false);
      history.ran('x');
      end(unknown);
      history.begin('x', false)(unknown);
    },
    broken: [],
  },
  {
    title: 'a late run after an unknown outcome',
    record: (history) => {
      history.begin('x', false)(unknown);
      history.ran('x');
    },
    broken: [],
  },
  {
    title: 'a second run',
    record: (history) => {
      const end = history.begin('x', false);
      history.ran('x');
      history.ran('x');
      end(answered);
    },
    broken: [HistoryRule.RunsAtMostOnce],
  },
  {
    title: 'a second run of an idempotent request',
    record: (history) => {
      const end = history.begin('x', true);
      history.ran('x');
      history.ran('x');
      end(answered);
    },
    broken: [],
  },
  {
    title: 'a refusal as not run after a run',
    record: (history) => {
      const end = history.begin('x', false);
      history.ran('x');
      end(notRun);
    },
    broken: [HistoryRule.NotRunIsTrue],
  },
  {
    title: 'a run after the refusal of its only attempt',
    record: (history) => {
      history.begin('x', false)(notRun);
      history.ran('x');
    },
    broken: [HistoryRule.NotRunIsTrue],
  },
  {
    title: 'the answer to another request',
    record: (history) => {
      const end = history.begin('x', false);
      history.ran('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('y') });
    },
    broken: [HistoryRule.AnswerIsOwn],
  },
  {
    title: 'a part of the answer',
    record: (history) => {
      const end = history.begin('x', false);
      history.ran('x');
      end({ outcome: Outcome.Answered, body: expectedAnswer('x').slice(0, -1) });
    },
    broken: [HistoryRule.AnswerIsOwn],
  },
  {
    title: 'an answer without a run',
    record: (history) => {
      history.begin('x', false)(answered);
    },
    broken: [HistoryRule.AnswerIsOwn],
  },
  {
    title: 'an attempt without end',
    record: (history) => {
      history.begin('x', false);
    },
    broken: [HistoryRule.EndsOnce],
  },
  {
    title: 'an attempt with two ends',
    record: (history) => {
      const end = history.begin('x', false);
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
