import type { IncomingMessage, ServerResponse } from 'node:http';
import { BaseError } from '../errors/index.js';

/** Bounds on what the callers of a listener can make the process hold. */
export interface ListenerLimits {
  /** Maximum number of open connections. */
  maxConnections: number;
  /** Maximum number of requests in progress, including those whose caller has disconnected. */
  maxInFlight: number;
  /** Maximum size of the request line and headers of one request, in bytes. */
  maxHeaderBytes: number;
  /** Maximum total size of the headers of all requests that are received or in progress, in bytes. */
  maxTotalHeaderBytes: number;
  /** Maximum size of one body, in bytes. */
  maxBodyBytes: number;
  /** Maximum total size of the bodies of all requests that are received or in progress, in bytes. */
  maxTotalBodyBytes: number;
  /** Memory that a request in progress takes for each byte of its body. */
  memoryPerBodyByte: number;
  /** Maximum total size of what callers send ahead of their request in progress, in bytes. */
  maxReadAheadBytes: number;
  /** Time to receive the headers of a request, in milliseconds. */
  headerTimeoutMs: number;
  /** Time to receive the body of a request, in milliseconds. */
  bodyTimeoutMs: number;
  /** Longest pause while a body is received, in milliseconds. */
  bodyIdleTimeoutMs: number;
  /** Time for a caller to read a response, in milliseconds. */
  answerTimeoutMs: number;
  /** Time for which an idle connection is kept, in milliseconds; 0 if it is kept without limit. */
  idleTimeoutMs: number;
}

/** What a connection makes the process hold. */
export enum Holding {
  Headers = 'headers',
  Body = 'body',
  ReadAhead = 'read_ahead',
}

/** Reason why the listener closed a connection, or refused one. */
export enum CloseReason {
  /** The connection limit was reached, and this connection had waited longest for a request. */
  ConnectionLimit = 'connection_limit',
  /** The connection limit was reached, and all connections had a request in progress. */
  ConnectionRefused = 'connection_refused',
  /** The headers of all requests exceeded their limit. */
  HeaderMemory = 'header_memory',
  /** The bodies of all requests exceeded their limit. */
  BodyMemory = 'body_memory',
  /** What callers sent ahead exceeded its limit. */
  ReadAheadMemory = 'read_ahead_memory',
  HeaderTimeout = 'header_timeout',
  BodyTimeout = 'body_timeout',
  /** The caller did not read its response. */
  AnswerTimeout = 'answer_timeout',
  Idle = 'idle',
  /** A request took many times more bytes to send than its body and headers may have. */
  RequestTooLong = 'request_too_long',
}

/** Reason why a body was not received. */
export enum BodyErrorCode {
  /** It is larger than one body may be. */
  TooLarge = 'too_large',
  /** The bodies of all requests together are larger than they may be. */
  NoMemory = 'no_memory',
  /** The connection was closed, or a timeout expired. */
  Incomplete = 'incomplete',
}

/** A request body was not received. */
export class BodyError extends BaseError<BodyErrorCode> {}

/** Answers a request. The request is in progress until the returned promise settles. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** Answers a request that is refused before its handler runs; must end the response at once. */
export type RefusalHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  refusal: EarlyRefusal,
) => void;

/** Reason why a request is refused before its handler runs. */
export enum EarlyRefusal {
  /** As many requests are in progress as may be. */
  Overloaded = 'overloaded',
  /** The request has no `Host` header, which HTTP/1.1 requires. */
  MissingHost = 'missing_host',
  /** The `Expect` header asks for something other than `100-continue`. */
  ExpectationFailed = 'expectation_failed',
}
