export { createRequestRouter, type RequestRouterDeps } from './router.js';
export { requestsSchema, type RequestsSettings } from './defaults.js';
export { isRequestReason, reasonRegistry, RequestReason, type ReasonInfo } from './reasons.js';
export {
  RequestError,
  type CallerAnswer,
  type CallerRequest,
  type RequestErrorDetails,
  type RequestResult,
  type RequestRouter,
} from './types.js';
export { formatRequestId, parseRequestId, type RequestIdParts } from './requestId.js';
export {
  createCallerListener,
  ListenerError,
  ListenerErrorCode,
  type CallerListener,
  type CallerListenerDeps,
} from './listener.js';
export { CallerHeader, headersForBackend, headersForCaller } from './headers.js';
export { CALLER_METHODS } from './callerRequest.js';
export type { RefusalBody } from './callerResponse.js';
export { claimRowKey, type ClaimValue } from './claims.js';
export { ForwardKind, LateAnswerCause, RetryDenial } from './requestMetrics.js';
export { sweepClaims, type ClaimSweep } from './claimSweep.js';
