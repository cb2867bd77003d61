import type { Counter, Gauge } from 'prom-client';
import type { Metrics } from '../metrics/index.js';

/** Counters and gauges of the capacity policy. */
export interface CapacityMetrics {
  movesRequested: Counter;
  movesWithdrawn: Counter;
  movesRefused: Counter;
  bufferVms: Gauge;
}

/** Registers the metrics of the capacity policy. */
export function createCapacityMetrics(metrics: Metrics): CapacityMetrics {
  return {
    movesRequested: metrics.counter(
      'capacity_moves_requested_total',
      'Moves requested by the capacity policy',
      ['reason'],
    ),
    movesWithdrawn: metrics.counter(
      'capacity_moves_withdrawn_total',
      'Requested moves withdrawn because they did not start in time',
    ),
    movesRefused: metrics.counter(
      'capacity_moves_refused_total',
      'Moves that the capacity policy considered but did not request',
      ['reason'],
    ),
    bufferVms: metrics.gauge('capacity_buffer_vms', 'Size of the buffer of each pool, in VMs', [
      'pool',
    ]),
  };
}
