import type { Counter } from 'prom-client';
import type { Metrics } from '../metrics/index.js';
import type { RequestReason } from './reasons.js';

/** Reason why a response was dropped. */
export enum LateAnswerCause {
  CallerGone = 'caller_gone',
  /** Its forwarded request has ended already, or belongs to another member or request id. */
  NotAwaited = 'not_awaited',
}

/** Reason why a failure that is retryable was not retried. */
export enum RetryDenial {
  Budget = 'budget',
  Attempts = 'attempts',
  Deadline = 'deadline',
}

/** Destination of a forwarded request. */
export enum ForwardKind {
  SameZone = 'zone',
  OtherZone = 'other_zone',
  Issuer = 'issuer',
}

/** Counters of the request path. */
export interface RequestMetrics {
  /** Label `outcome`. */
  ended: Counter;
  /** Labels `reason` and `outcome`. */
  refusals: Counter;
  /** Label `reason`: the failure that is retried. */
  retries: Counter;
  /** Label `denial`. */
  retriesDenied: Counter;
  /** Label `cause`. */
  lateAnswers: Counter;
  replays: Counter;
  /** Label `kind`. */
  forwards: Counter;
  /** Label `kind`: `read` or `write`. */
  platformCalls: Counter;
  /** Counts a refusal of the router or the listener. */
  countRefusal(reason: RequestReason, outcome: string): void;
}

/** Creates the counters of the request path, or returns the registered ones. */
export function createRequestMetrics(metrics: Metrics): RequestMetrics {
  const refusals = metrics.counter(
    'request_refusals_total',
    'Requests that ended without a response.',
    ['reason', 'outcome'],
  );
  return {
    ended: metrics.counter('requests_total', 'Caller requests that ended.', ['outcome']),
    refusals,
    retries: metrics.counter('request_retries_total', 'Retries made.', ['reason']),
    retriesDenied: metrics.counter('request_retries_denied_total', 'Retries denied.', ['denial']),
    lateAnswers: metrics.counter('request_late_answers_total', 'Responses dropped.', ['cause']),
    replays: metrics.counter('request_replays_total', 'Responses shared or replayed.'),
    forwards: metrics.counter('request_forwards_total', 'Requests forwarded to other members.', [
      'kind',
    ]),
    platformCalls: metrics.counter(
      'request_platform_calls_total',
      'Platform calls to claim idempotency keys.',
      ['kind'],
    ),
    countRefusal: (reason, outcome) => {
      refusals.inc({ reason, outcome });
    },
  };
}
