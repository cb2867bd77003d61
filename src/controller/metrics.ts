import type { Counter, Gauge } from 'prom-client';
import type { Metrics } from '../metrics/index.js';

/** Counters and gauges of the zone controller. */
export interface ControllerMetrics {
  leaseTakeovers: Counter;
  leaseLosses: Counter;
  commits: Counter;
  commitRetries: Counter;
  permits: Counter;
  permitRefusals: Counter;
  drains: Counter;
  stopsEnded: Counter;
  movesEnded: Counter;
  wavePauses: Counter;
  orphanDrains: Counter;
  vmsLeaving: Counter;
  vmsAway: Gauge;
  buffer: Gauge;
}

/** Registers the metrics of the zone controller. */
export function createControllerMetrics(metrics: Metrics): ControllerMetrics {
  return {
    leaseTakeovers: metrics.counter('controller_lease_takeovers_total', 'Zone leases acquired', [
      'zone',
    ]),
    leaseLosses: metrics.counter('controller_lease_losses_total', 'Zone leases lost', ['zone']),
    commits: metrics.counter('controller_commits_total', 'Decisions committed', ['purpose']),
    commitRetries: metrics.counter('controller_commit_retries_total', 'Commits retried', [
      'reason',
    ]),
    permits: metrics.counter('controller_permits_total', 'Permits granted', ['kind']),
    permitRefusals: metrics.counter('controller_permit_refusals_total', 'Permits refused', [
      'kind',
      'rule',
    ]),
    drains: metrics.counter('controller_drains_total', 'Drains of VMs ended', ['kind', 'result']),
    stopsEnded: metrics.counter('controller_stops_total', 'Planned stops ended', ['result']),
    movesEnded: metrics.counter('controller_moves_total', 'Moves ended', ['result']),
    wavePauses: metrics.counter('controller_wave_pauses_total', 'Waves paused', ['rule']),
    orphanDrains: metrics.counter(
      'controller_orphan_drains_total',
      'Drains without a known reason that were cancelled',
    ),
    vmsLeaving: metrics.counter('controller_vms_leaving_total', 'VMs newly listed as leaving'),
    vmsAway: metrics.gauge('controller_vms_away', 'VMs away', ['pool', 'reason']),
    buffer: metrics.gauge('controller_buffer_vms', 'VMs that may still be taken out of service', [
      'pool',
    ]),
  };
}
