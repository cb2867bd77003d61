import test from 'ava';
import { StoreErrorCode } from '../batch/ports.js';
import {
  decodeFeed,
  decodeOutcome,
  decodeRelayRequest,
  decodeRow,
  decodeRows,
} from './messages.js';
import { RelayOperation } from './types.js';

const key = { table: 'job', part: 'motions', key: '1' };
const row = { ...key, value: 'text', version: 3 };

interface RequestCase {
  title: string;
  body: unknown;
  isValid: boolean;
}

const requestCases: RequestCase[] = [
  { title: 'a check', body: { relay: RelayOperation.Check }, isValid: true },
  { title: 'a row', body: { relay: RelayOperation.ReadRow, key }, isValid: true },
  {
    title: 'a transaction',
    body: {
      relay: RelayOperation.Transact,
      tx: { conditions: [{ ...key, version: 0 }], writes: [{ ...key, value: '' }], removes: [key] },
    },
    isValid: true,
  },
  { title: 'nothing', body: undefined, isValid: false },
  { title: 'an unknown operation', body: { relay: 'drop' }, isValid: false },
  { title: 'a name of an inherited property', body: { relay: 'toString' }, isValid: false },
  { title: 'a row without a key', body: { relay: RelayOperation.ReadRow }, isValid: false },
  {
    title: 'a condition without a version',
    body: {
      relay: RelayOperation.Transact,
      tx: { conditions: [key], writes: [], removes: [] },
    },
    isValid: false,
  },
  {
    title: 'a write without a value',
    body: { relay: RelayOperation.Transact, tx: { conditions: [], writes: [key], removes: [] } },
    isValid: false,
  },
  {
    title: 'a feed with a version that is not whole',
    body: { relay: RelayOperation.Feed, table: 'op', after: 1.5, waitMs: 100 },
    isValid: false,
  },
];

// Guards against a malformed message of another node that reaches the store or ends the process.
for (const { title, body, isValid } of requestCases) {
  test(`request: ${title}`, (t) => {
    t.is(decodeRelayRequest(body) !== undefined, isValid);
  });
}

interface AnswerCase {
  title: string;
  decode: (body: unknown) => { isOk: boolean };
  body: unknown;
  isOk: boolean;
}

const answerCases: AnswerCase[] = [
  {
    title: 'applied',
    decode: decodeOutcome,
    body: { value: { isApplied: true, version: 4 } },
    isOk: true,
  },
  {
    title: 'conflict',
    decode: decodeOutcome,
    body: { value: { isApplied: false, rows: [row] } },
    isOk: true,
  },
  {
    title: 'applied without a version',
    decode: decodeOutcome,
    body: { value: { isApplied: true } },
    isOk: false,
  },
  {
    title: 'conflict without rows',
    decode: decodeOutcome,
    body: { value: { isApplied: false } },
    isOk: false,
  },
  { title: 'rows', decode: decodeRows, body: { value: { rows: [row], version: 4 } }, isOk: true },
  {
    title: 'rows without a version',
    decode: decodeRows,
    body: { value: { rows: [row] } },
    isOk: false,
  },
  { title: 'no row', decode: decodeRow, body: { value: undefined }, isOk: true },
  { title: 'a row without a value', decode: decodeRow, body: { value: key }, isOk: false },
  {
    title: 'changes',
    decode: decodeFeed,
    body: { value: { rows: [{ ...row, isRemoved: false }], version: 4 } },
    isOk: true,
  },
  {
    title: 'changes that are plain rows',
    decode: decodeFeed,
    body: { value: { rows: [row], version: 4 } },
    isOk: false,
  },
  {
    title: 'an error of the store',
    decode: decodeRow,
    body: { error: StoreErrorCode.Refused, message: 'busy' },
    isOk: false,
  },
  { title: 'an unknown error', decode: decodeRow, body: { error: 'odd' }, isOk: false },
  { title: 'nothing', decode: decodeRow, body: undefined, isOk: false },
];

// Guards against a malformed answer that is taken for rows, or for a statement that nothing was done.
for (const { title, decode, body, isOk } of answerCases) {
  test(`answer: ${title}`, (t) => {
    t.is(decode(body).isOk, isOk);
  });
}

test('a malformed answer leaves open whether the operation was carried out', (t) => {
  const res = decodeOutcome({ value: 3 });
  t.is(res.isErr && res.error.code, StoreErrorCode.NoAnswer);
});
