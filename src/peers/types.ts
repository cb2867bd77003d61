import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { ConfigDelta, ConfigSnapshot } from '../configuration/types.js';

/** Identity of an entry process. A restarted process has a new incarnation. */
export interface MemberId {
  name: string;
  /** Random 64 bits as 16 hex digits. */
  incarnation: string;
}

/** Identity, location and address that a member announces to its peers. */
export interface MemberInfo extends MemberId {
  zone: string;
  /** IP address of the peer listener. */
  host: string;
  port: number;
  /** Wall-clock start time in milliseconds; orders the incarnations of one name. */
  startedAt: number;
}

/** Types of peer messages. */
export enum PeerMessageType {
  Hello = 'hello',
  Challenge = 'challenge',
  Proof = 'proof',
  Welcome = 'welcome',
  Heartbeat = 'heartbeat',
  ConfigDelta = 'config_delta',
  ConfigRequest = 'config_request',
  ConfigSnapshot = 'config_snapshot',
  ConfigAck = 'config_ack',
  Forward = 'forward',
  ForwardAnswer = 'forward_answer',
  ForwardCancel = 'forward_cancel',
  JobNotice = 'job_notice',
  Leave = 'leave',
}

/** Load of one service on the sending process, summed over the executors that it owns. */
export interface ServiceLoad {
  service: string;
  slots: number;
  freeSlots: number;
  queued: number;
}

/** Compact form of {@link ServiceLoad} in heartbeats. */
export type LoadEntry = [service: string, slots: number, freeSlots: number, queued: number];

/** A VM that the sender is draining, and the number of its requests still in flight there. */
export interface DrainingVm {
  vm: string;
  inFlight: number;
}

/** Periodic liveness message. The link identifies the sender. */
export interface HeartbeatMessage {
  type: PeerMessageType.Heartbeat;
  sequence: number;
  configVersion: number;
  /** Maximum time in milliseconds until the next heartbeat to the same receiver. */
  everyMs?: number;
  /** Services whose load is new or due for a repeat; others keep the last reported load. */
  load: LoadEntry[];
  /** All VMs that the sender is draining; sent only within the zone. */
  draining?: DrainingVm[];
  /** Members known to the sender, or a sample of them, for member discovery. */
  members?: MemberInfo[];
  /** VMs that the sender knows to be leaving although its configuration does not say so yet. */
  leaving?: string[];
  /**
   * False when the sender has not heard from the receiver recently. The receiver then treats the
   * sender as Suspect, so that neither side uses a link that works in one direction only.
   */
  hears?: boolean;
}

/** Committed versions in order, either pushed or sent in reply to a ConfigRequest. */
export interface ConfigDeltaMessage {
  type: PeerMessageType.ConfigDelta;
  deltas: ConfigDelta[];
  /** Members to which the receiver shall forward the deltas; for work-splitting dissemination. */
  delegate?: string[];
}

/** Requests the deltas after a version, or a snapshot if these deltas are no longer retained. */
export interface ConfigRequestMessage {
  type: PeerMessageType.ConfigRequest;
  afterVersion: number;
}

/** The full configuration, or one part of it if it does not fit into one frame. */
export interface ConfigSnapshotMessage {
  type: PeerMessageType.ConfigSnapshot;
  snapshot: ConfigSnapshot;
  /** Zero-based index of this part and number of parts; absent if there is only one part. */
  part?: { index: number; count: number };
}

/** Acknowledges a ConfigDelta message that had a `delegate` list. */
export interface ConfigAckMessage {
  type: PeerMessageType.ConfigAck;
  /** Last version of the acknowledged message. */
  version: number;
}

/** Outcome of a request. */
export enum Outcome {
  /** A backend server sent a complete answer. */
  Answered = 'answered',
  /** The request was definitely not executed. */
  NotRun = 'not-run',
  /** The request may have been executed. */
  Unknown = 'unknown',
}

/** A request forwarded to another entry process. */
export interface ForwardMessage {
  type: PeerMessageType.Forward;
  /** Unique per link and direction; correlates the answer with the request. */
  forwardId: number;
  requestId: string;
  origin: MemberId;
  team: string;
  service: string;
  urgent: boolean;
  idempotent: boolean;
  /** Time until the deadline in milliseconds, measured when the message is written. */
  remainingMs: number;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** True if sent to the issuer of the request id, which decides whether the request may run. */
  toIssuer: boolean;
}

/** Final answer to a forwarded request. */
export interface ForwardAnswerMessage {
  type: PeerMessageType.ForwardAnswer;
  forwardId: number;
  requestId: string;
  outcome: Outcome;
  /** Reason for a refusal or failure; absent if the request was answered. */
  reason?: string;
  message?: string;
  retryAfterMs?: number;
  status?: number;
  headers?: Record<string, string>;
  body?: Uint8Array;
}

/** The caller of a forwarded request has disconnected. */
export interface ForwardCancelMessage {
  type: PeerMessageType.ForwardCancel;
  forwardId: number;
}

/** Notifies the receiver of a job recorded for its zone. */
export interface JobNoticeMessage {
  type: PeerMessageType.JobNotice;
  zone: string;
  jobId: string;
  urgent: boolean;
}

/** Announces that the sender is shutting down gracefully. */
export interface LeaveMessage {
  type: PeerMessageType.Leave;
  from: MemberId;
}

/** Messages exchanged after the handshake. */
export type PeerMessage =
  | HeartbeatMessage
  | ConfigDeltaMessage
  | ConfigRequestMessage
  | ConfigSnapshotMessage
  | ConfigAckMessage
  | ForwardMessage
  | ForwardAnswerMessage
  | ForwardCancelMessage
  | JobNoticeMessage
  | LeaveMessage;

/** Error codes of {@link PeerError}. */
export enum PeerErrorCode {
  /** There is no link to the member, or it was closed. When sending: nothing was sent. */
  NotConnected = 'not_connected',
  /** The send buffer of the link is full; nothing was sent. */
  Overloaded = 'overloaded',
  /** The message exceeds the frame size limit; nothing was sent. */
  TooLarge = 'too_large',
  BadFrame = 'bad_frame',
  HandshakeFailed = 'handshake_failed',
  /** The peer listener could not be opened. */
  ListenFailed = 'listen_failed',
  /** The shared secret is missing or too short. */
  WeakSecret = 'weak_secret',
}

/** Failure of the peer listener, a handshake, or communication with a peer. */
export class PeerError extends BaseError<PeerErrorCode> {}

/** Handles a message from an authenticated peer. */
export type PeerMessageHandler<M extends PeerMessage = PeerMessage> = (
  from: MemberInfo,
  message: M,
) => void;

/** Links to the other entry processes. */
export interface PeerNetwork {
  readonly self: MemberInfo;
  /** Members that currently have an authenticated link. */
  connected(): readonly MemberInfo[];
  /** Adds a member to connect to. */
  addMember(member: MemberInfo): void;
  /** Adds an address to connect to whenever no link to a member at this address is up. */
  addSeed?(host: string, port: number): void;
  /** Closes the link to a member and stops reconnecting. */
  removeMember(name: string): void;
  /** Sets the idle timeout of the link to a member; the configured timeout is the minimum. */
  setIdleTimeout?(name: string, timeoutMs: number): void;
  /**
   * Queues a message for writing. Ok does not mean that it was delivered; an error means that
   * nothing was sent.
   */
  send(name: string, message: PeerMessage): Result<void, PeerError>;
  /** Registers the handler of a message type; each type has a single handler. */
  handle<T extends PeerMessage['type']>(
    type: T,
    handler: PeerMessageHandler<Extract<PeerMessage, { type: T }>>,
  ): void;
  /**
   * Registers a listener that is called when a link comes up after the handshake or goes down. It
   * is called immediately for links that are already up.
   */
  onLink(listener: (member: MemberInfo, up: boolean) => void): void;
}
