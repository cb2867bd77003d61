import test from 'ava';
import { BudgetErrorCode, decodeBudget, encodeBudget, type BudgetRow } from './budgetRow.js';

const amount = { cpuMillis: 1, memoryMb: 2, accelerators: 3 };
const share = { epoch: 4, granted: amount, wanted: amount };
const row: BudgetRow = { version: 7, limit: amount, shares: { motions: share } };

const readable: [title: string, value: BudgetRow][] = [
  ['a row', row],
  ['a row with missing shares', { ...row, missing: ['sightings'] }],
];
for (const [title, value] of readable) {
  // Guards against a holder that reads another grant than was written.
  test(`${title} is decoded as it was encoded`, (t) => {
    const decoded = decodeBudget(encodeBudget(value));
    t.deepEqual(decoded.isOk ? decoded.value : undefined, value);
  });
}

const malformed: [title: string, value: string, code: BudgetErrorCode][] = [
  ['an empty value', '', BudgetErrorCode.NotJson],
  ['a list', '[]', BudgetErrorCode.BadField],
  ['no version', JSON.stringify({ ...row, version: undefined }), BudgetErrorCode.BadField],
  [
    'a limit without memory',
    JSON.stringify({ ...row, limit: { cpuMillis: 1 } }),
    BudgetErrorCode.BadField,
  ],
  ['shares that are null', JSON.stringify({ ...row, shares: null }), BudgetErrorCode.BadField],
  [
    'a negative grant',
    JSON.stringify({ ...row, shares: { a: { ...share, granted: { ...amount, cpuMillis: -1 } } } }),
    BudgetErrorCode.BadField,
  ],
  [
    'an epoch that is text',
    JSON.stringify({ ...row, shares: { a: { ...share, epoch: '4' } } }),
    BudgetErrorCode.BadField,
  ],
  [
    'missing that holds numbers',
    JSON.stringify({ ...row, missing: [1] }),
    BudgetErrorCode.BadField,
  ],
];

for (const [title, value, code] of malformed) {
  // Guards against a malformed row that counts as a budget of which nothing is granted.
  test(`${title} is a typed error`, (t) => {
    const decoded = decodeBudget(value);
    t.is(decoded.isErr ? decoded.error.code : undefined, code);
  });
}
