import type { Counter, Gauge } from 'prom-client';
import type { Metrics } from '../metrics/index.js';

/** Counters and gauges of the buffer and move policy. */
export interface CapacityMetrics {
  movesRequested: Counter;
  movesWithdrawn: Counter;
  movesRefused: Counter;
  bufferHeldBack: Gauge;
}

/** Registers the metrics of the buffer and move policy. */
export function createCapacityMetrics(metrics: Metrics): CapacityMetrics {
  return {
    movesRequested: metrics.counter(
      'capacity_moves_requested_total',
      'Moves requested by the buffer and move policy',
      ['reason'],
    ),
    movesWithdrawn: metrics.counter(
      'capacity_moves_withdrawn_total',
      'Requested moves that did not start in time and were withdrawn',
    ),
    movesRefused: metrics.counter(
      'capacity_moves_refused_total',
      'Moves that the policy considered and did not request',
      ['reason'],
    ),
    bufferHeldBack: metrics.gauge('capacity_buffer_vms', 'VMs held back in each pool', ['pool']),
  };
}
