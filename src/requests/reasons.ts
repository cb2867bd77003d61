import { Outcome } from '../peers/index.js';

/** Reason why a request ended without a response from a backend server. */
export enum RequestReason {
  BadRequest = 'bad_request',
  UnknownRoute = 'unknown_route',
  MethodNotAllowed = 'method_not_allowed',
  HeaderTooLarge = 'header_too_large',
  BodyTooLarge = 'body_too_large',
  ReceiveTimeout = 'receive_timeout',
  NotReady = 'not_ready',
  ShuttingDown = 'shutting_down',
  Overloaded = 'overloaded',
  UnknownService = 'unknown_service',
  UnknownTeam = 'unknown_team',
  InvalidRequestId = 'invalid_request_id',
  RequestMismatch = 'request_mismatch',
  LedgerFull = 'ledger_full',
  PlatformUnavailable = 'platform_unavailable',
  PlatformBusy = 'platform_busy',
  ClaimUnresolved = 'claim_unresolved',
  ServiceQueueFull = 'service_queue_full',
  TeamQueueFull = 'team_queue_full',
  DeadlineUnmeetable = 'deadline_unmeetable',
  DeadlineExpired = 'deadline_expired',
  NoBackend = 'no_backend',
  Cancelled = 'cancelled',
  BackendUnreachable = 'backend_unreachable',
  BackendBusy = 'backend_busy',
  BackendRefused = 'backend_refused',
  PeerUnreachable = 'peer_unreachable',
  PeerOverloaded = 'peer_overloaded',
  TooLargeToForward = 'too_large_to_forward',
  IssuerGone = 'issuer_gone',
  IssuerUnreachable = 'issuer_unreachable',
  OutcomeLost = 'outcome_lost',
  TooManyWaiters = 'too_many_waiters',
  BackendTimeout = 'backend_timeout',
  BackendLost = 'backend_lost',
  AnswerRejected = 'answer_rejected',
  LinkLost = 'link_lost',
  InternalError = 'internal_error',
}

/** Properties of a reason, used for HTTP responses, retries and the callers' documentation. */
export interface ReasonInfo {
  /** Outcomes that can be reported with the reason; the first one is the default. */
  outcomes: readonly Outcome[];
  /** HTTP status of the refusal. */
  status: number;
  /** Default retry delay in milliseconds; 0 if retrying the same request cannot succeed. */
  retryAfterMs: number;
  /** Whether the entry process that received the request retries it, if the outcome allows it. */
  retryable: boolean;
  meaning: string;
}

const NOT_RUN = [Outcome.NotRun] as const;
const UNKNOWN = [Outcome.Unknown] as const;
const NOT_RUN_OR_UNKNOWN = [Outcome.NotRun, Outcome.Unknown] as const;
const NO_RETRY_MS = 0;
const SHORT_RETRY_MS = 200;
const LONG_RETRY_MS = 1_000;
const OUTAGE_RETRY_MS = 5_000;

type ReasonDefinition = [
  outcomes: readonly Outcome[],
  status: number,
  retryAfterMs: number,
  retried: boolean,
  meaning: string,
];

const definitions: Record<RequestReason, ReasonDefinition> = {
  [RequestReason.BadRequest]: [
    NOT_RUN,
    400,
    NO_RETRY_MS,
    false,
    'A header, the body or the request line is missing or malformed.',
  ],
  [RequestReason.UnknownRoute]: [NOT_RUN, 404, NO_RETRY_MS, false, 'No such path in this API.'],
  [RequestReason.MethodNotAllowed]: [
    NOT_RUN,
    405,
    NO_RETRY_MS,
    false,
    'The method is not supported.',
  ],
  [RequestReason.HeaderTooLarge]: [
    NOT_RUN,
    431,
    NO_RETRY_MS,
    false,
    'The headers exceed the bound.',
  ],
  [RequestReason.BodyTooLarge]: [NOT_RUN, 413, NO_RETRY_MS, false, 'The body exceeds the bound.'],
  [RequestReason.ReceiveTimeout]: [
    NOT_RUN_OR_UNKNOWN,
    408,
    SHORT_RETRY_MS,
    false,
    'The request did not arrive whole in time.',
  ],
  [RequestReason.NotReady]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The entry process has no configuration yet.',
  ],
  [RequestReason.ShuttingDown]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    SHORT_RETRY_MS,
    false,
    'The entry process shuts down; another one takes the request.',
  ],
  [RequestReason.Overloaded]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The entry process holds as many requests or bytes as it may.',
  ],
  [RequestReason.UnknownService]: [
    NOT_RUN_OR_UNKNOWN,
    404,
    NO_RETRY_MS,
    false,
    'The service is not configured.',
  ],
  [RequestReason.UnknownTeam]: [
    NOT_RUN_OR_UNKNOWN,
    403,
    NO_RETRY_MS,
    false,
    'The team is not configured.',
  ],
  [RequestReason.InvalidRequestId]: [
    NOT_RUN,
    400,
    NO_RETRY_MS,
    false,
    'The request id was never issued, or was issued to another team.',
  ],
  [RequestReason.RequestMismatch]: [
    NOT_RUN,
    422,
    NO_RETRY_MS,
    false,
    'The id or key belongs to a request with another content. This content did not run.',
  ],
  [RequestReason.LedgerFull]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'Too many issued request ids are unused.',
  ],
  [RequestReason.PlatformUnavailable]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    OUTAGE_RETRY_MS,
    false,
    'The key cannot be claimed because the platform cannot be reached.',
  ],
  [RequestReason.PlatformBusy]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The key cannot be claimed because the share of platform calls is spent.',
  ],
  [RequestReason.ClaimUnresolved]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The platform did not confirm the claim of the key. Nothing was sent.',
  ],
  [RequestReason.ServiceQueueFull]: [
    NOT_RUN,
    503,
    LONG_RETRY_MS,
    false,
    'Too many requests wait for the service.',
  ],
  [RequestReason.TeamQueueFull]: [
    NOT_RUN,
    429,
    LONG_RETRY_MS,
    false,
    'Too many requests of the team wait.',
  ],
  [RequestReason.DeadlineUnmeetable]: [
    NOT_RUN,
    503,
    LONG_RETRY_MS,
    false,
    'The expected wait is longer than the time left.',
  ],
  [RequestReason.DeadlineExpired]: [
    NOT_RUN_OR_UNKNOWN,
    504,
    SHORT_RETRY_MS,
    false,
    'The deadline passed before the request was sent.',
  ],
  [RequestReason.NoBackend]: [
    NOT_RUN,
    503,
    LONG_RETRY_MS,
    false,
    'No backend server of the service can take work.',
  ],
  [RequestReason.Cancelled]: [
    NOT_RUN_OR_UNKNOWN,
    499,
    NO_RETRY_MS,
    false,
    'The caller went away; nobody receives this.',
  ],
  [RequestReason.BackendUnreachable]: [
    NOT_RUN,
    502,
    SHORT_RETRY_MS,
    true,
    'No connection to the backend server.',
  ],
  [RequestReason.BackendBusy]: [
    NOT_RUN,
    503,
    SHORT_RETRY_MS,
    true,
    'All connections to the backend server are in use.',
  ],
  [RequestReason.BackendRefused]: [
    NOT_RUN,
    503,
    SHORT_RETRY_MS,
    true,
    'The backend server proved that it did not start the request.',
  ],
  [RequestReason.PeerUnreachable]: [
    NOT_RUN,
    503,
    SHORT_RETRY_MS,
    true,
    'The entry process with a free slot cannot be reached.',
  ],
  [RequestReason.PeerOverloaded]: [
    NOT_RUN,
    503,
    SHORT_RETRY_MS,
    true,
    'The link to another entry process is full.',
  ],
  [RequestReason.TooLargeToForward]: [
    NOT_RUN,
    413,
    NO_RETRY_MS,
    false,
    'The request is larger than a frame between entry processes.',
  ],
  [RequestReason.IssuerGone]: [
    NOT_RUN_OR_UNKNOWN,
    502,
    NO_RETRY_MS,
    false,
    'The entry process that issued the id has stopped; its record of the request is lost.',
  ],
  [RequestReason.IssuerUnreachable]: [
    NOT_RUN_OR_UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The entry process that issued the id cannot be reached; only it knows whether the id ran.',
  ],
  [RequestReason.OutcomeLost]: [
    UNKNOWN,
    409,
    NO_RETRY_MS,
    false,
    'The id ran or was given up earlier and its outcome is no longer known.',
  ],
  [RequestReason.TooManyWaiters]: [
    UNKNOWN,
    503,
    LONG_RETRY_MS,
    false,
    'The id is running and too many callers wait for its answer.',
  ],
  [RequestReason.BackendTimeout]: [
    UNKNOWN,
    504,
    LONG_RETRY_MS,
    true,
    'No whole answer arrived before the deadline.',
  ],
  [RequestReason.BackendLost]: [
    UNKNOWN,
    502,
    LONG_RETRY_MS,
    true,
    'The connection to the backend server was lost after sending.',
  ],
  [RequestReason.AnswerRejected]: [
    UNKNOWN,
    502,
    LONG_RETRY_MS,
    true,
    'The answer was truncated, too large or belonged to another request.',
  ],
  [RequestReason.LinkLost]: [
    UNKNOWN,
    502,
    LONG_RETRY_MS,
    true,
    'The link to another entry process was lost after the request was passed on.',
  ],
  [RequestReason.InternalError]: [
    UNKNOWN,
    500,
    LONG_RETRY_MS,
    false,
    'A fault of the entry process itself.',
  ],
};

/** Properties of each reason. */
export const reasonRegistry = Object.fromEntries(
  Object.entries(definitions).map(
    ([reason, [outcomes, status, retryAfterMs, retryable, meaning]]) => [
      reason,
      { outcomes, status, retryAfterMs, retryable, meaning },
    ],
  ),
) as Record<RequestReason, ReasonInfo>;

/** Whether a text received from a peer is a known reason. */
export function isRequestReason(text: string | undefined): text is RequestReason {
  return text !== undefined && Object.hasOwn(reasonRegistry, text);
}
