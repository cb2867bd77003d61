import type { DecisionLog } from './decisionLog.js';
import type { StoreLimits } from './ports.js';
import { LEASE_MS } from './runControl.js';

/** Row size below which jobs with long payloads and many steps are refused, in bytes. */
const MIN_ROW_BYTES = 16_384;
/** Operations that the largest entry of one job needs, with those on the head row. */
const MIN_OPERATIONS = 8;

/** What the platform offers to the daemon. */
export interface PlatformFeatures {
  limits: StoreLimits;
  /** Maximum length of a lease on a worker; undefined if unknown. */
  maxLeaseMs?: number;
  /** Whether there is an API for the maintenance and the moves of VMs. */
  hasVendor: boolean;
  /** Whether there is an advice service. */
  hasAdvice: boolean;
}

/** Something that the platform lacks. */
export interface MissingFeature {
  feature: string;
  consequence: string;
}

/** Lists what the platform lacks, and what does not work without it. */
export function findMissingFeatures(features: PlatformFeatures): MissingFeature[] {
  const { limits, maxLeaseMs = Infinity, hasVendor, hasAdvice } = features;
  const missing: MissingFeature[] = [];
  if (limits.rowBytes < MIN_ROW_BYTES) {
    const feature = `rows of ${MIN_ROW_BYTES} bytes, found ${limits.rowBytes}`;
    missing.push({ feature, consequence: 'larger jobs are refused' });
  }
  if (limits.operations < MIN_OPERATIONS) {
    const feature = `transactions of ${MIN_OPERATIONS} operations, found ${limits.operations}`;
    missing.push({ feature, consequence: 'jobs cannot be recorded' });
  }
  if (maxLeaseMs < LEASE_MS) {
    const feature = `leases of ${LEASE_MS} ms, found ${maxLeaseMs}`;
    missing.push({ feature, consequence: 'tasks on workers that fall silent end earlier' });
  }
  if (!hasVendor) {
    const consequence = 'waves and moves are not carried out';
    missing.push({ feature: 'an API of the VM vendor', consequence });
  }
  if (!hasAdvice) {
    const consequence = 'queues with an advice policy start no tasks';
    missing.push({ feature: 'an advice service', consequence });
  }
  return missing;
}

/** Logs the limits of the platform and what it lacks. */
export function logPlatformFeatures(features: PlatformFeatures, log: DecisionLog): void {
  const { limits, maxLeaseMs } = features;
  log.info('platform', {
    row_bytes: limits.rowBytes,
    operations: limits.operations,
    transaction_bytes: limits.transactionBytes,
    max_lease_ms: maxLeaseMs,
  });
  for (const { feature, consequence } of findMissingFeatures(features)) {
    log.warn('platform_lacks', { feature, consequence });
  }
}
