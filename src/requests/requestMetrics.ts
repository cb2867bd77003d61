import type { Counter } from 'prom-client';
import type { Metrics } from '../metrics/index.js';
import type { RequestReason } from './reasons.js';

/** Why an answer was dropped. */
export enum LateAnswerCause {
  CallerGone = 'caller_gone',
  /** The forwarded request that it answers has ended, or belongs to another member or id. */
  NotAwaited = 'not_awaited',
}

/** Why a retry was not made although the reason allows one. */
export enum RetryDenial {
  Budget = 'budget',
  Attempts = 'attempts',
  Deadline = 'deadline',
}

/** Where a request was passed to. */
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
  /** Label `kind`: read or write. */
  platformCalls: Counter;
  /** Counts a refusal that is not made by the router, such as one of the listener. */
  countRefusal(reason: RequestReason, outcome: string): void;
}

/** Creates or finds the counters of the request path. */
export function createRequestMetrics(metrics: Metrics): RequestMetrics {
  const refusals = metrics.counter('request_refusals_total', 'Requests ended without an answer.', [
    'reason',
    'outcome',
  ]);
  return {
    ended: metrics.counter('requests_total', 'Requests of callers that ended.', ['outcome']),
    refusals,
    retries: metrics.counter('request_retries_total', 'Attempts repeated.', ['reason']),
    retriesDenied: metrics.counter('request_retries_denied_total', 'Attempts not repeated.', [
      'denial',
    ]),
    lateAnswers: metrics.counter('request_late_answers_total', 'Answers dropped.', ['cause']),
    replays: metrics.counter('request_replays_total', 'Kept answers given again.'),
    forwards: metrics.counter('request_forwards_total', 'Requests passed to other members.', [
      'kind',
    ]),
    platformCalls: metrics.counter('request_platform_calls_total', 'Calls to claim caller keys.', [
      'kind',
    ]),
    countRefusal: (reason, outcome) => {
      refusals.inc({ reason, outcome });
    },
  };
}
