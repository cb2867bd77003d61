import test from 'ava';
import { findMissingFeatures, type PlatformFeatures } from './platformCheck.js';

const complete: PlatformFeatures = {
  limits: { rowBytes: 65_536, operations: 100, transactionBytes: 680_000 },
  maxLeaseMs: 6_000,
  hasVendor: true,
  hasAdvice: true,
};
const { limits } = complete;

const cases: { title: string; features: PlatformFeatures; missing: string[] }[] = [
  { title: 'a complete platform', features: complete, missing: [] },
  {
    title: 'small rows',
    features: { ...complete, limits: { ...limits, rowBytes: 4_096 } },
    missing: ['larger jobs are refused'],
  },
  {
    title: 'small transactions',
    features: { ...complete, limits: { ...limits, operations: 4 } },
    missing: ['jobs cannot be recorded'],
  },
  {
    title: 'short leases and no vendor',
    features: { ...complete, maxLeaseMs: 3_000, hasVendor: false },
    missing: [
      'tasks on workers that fall silent end earlier',
      'waves and moves are not carried out',
    ],
  },
  {
    title: 'no advice service',
    features: { ...complete, hasAdvice: false },
    missing: ['queues with an advice policy start no tasks'],
  },
];

for (const { title, features, missing } of cases) {
  // Guards against a deployment that silently lacks a part of the platform.
  test(`the start check of ${title} reports ${missing.length} missing features`, (t) => {
    t.deepEqual(
      findMissingFeatures(features).map(({ consequence }) => consequence),
      missing,
    );
  });
}
