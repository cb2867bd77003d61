import type { Result } from 'true-myth';
import { BaseError } from '../errors/index.js';
import type { ConfigDelta, ConfigSnapshot } from '../configuration/types.js';

/** Identity of an entry process. A restarted process has a new incarnation. */
export interface MemberId {
  name: string;
  /** Random 64 bits as 16 hex digits. */
  incarnation: string;
}

/** What a member tells others about itself. */
export interface MemberInfo extends MemberId {
  zone: string;
  /** Address of its peer listener. */
  host: string;
  port: number;
  /** Wall-clock start in milliseconds; orders incarnations of the same name. */
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

/** Load of one service on the sending process, over the executors that it owns. */
export interface ServiceLoad {
  service: string;
  slots: number;
  freeSlots: number;
  queued: number;
}

/** Load of one service in a heartbeat: service, slots, free slots, queued requests. */
export type LoadEntry = [service: string, slots: number, freeSlots: number, queued: number];

/** A VM that the sender drains, with the requests it still has in flight there. */
export interface DrainingVm {
  vm: string;
  inFlight: number;
}

/** Periodic sign of life. The link tells who sent it. */
export interface HeartbeatMessage {
  type: PeerMessageType.Heartbeat;
  sequence: number;
  configVersion: number;
  /** Longest time in milliseconds until the next heartbeat to the same receiver. */
  everyMs?: number;
  /** Services whose load is new or due again; others keep the load reported before. */
  load: LoadEntry[];
  /** All VMs that the sender drains; sent within the zone only. */
  draining?: DrainingVm[];
  /** Some members known to the sender, for discovery. */
  members?: MemberInfo[];
  /** VMs that the sender saw leaving and that its configuration does not show as leaving. */
  leaving?: string[];
  /**
   * False when the sender has not heard the receiver for a while. The receiver then treats the
   * sender as Suspect, so that a link that works in one direction only is used by neither side.
   */
  hears?: boolean;
}

/** Committed versions in order, pushed or answered to a ConfigRequest. */
export interface ConfigDeltaMessage {
  type: PeerMessageType.ConfigDelta;
  deltas: ConfigDelta[];
  /** Members that the receiver is asked to inform; used by work-splitting dissemination. */
  delegate?: string[];
}

/** Asks for the deltas after a version, or for a snapshot when they are no longer kept. */
export interface ConfigRequestMessage {
  type: PeerMessageType.ConfigRequest;
  afterVersion: number;
}

/** The whole configuration, or a part of it when it does not fit into one frame. */
export interface ConfigSnapshotMessage {
  type: PeerMessageType.ConfigSnapshot;
  snapshot: ConfigSnapshot;
  /** Position of this part, from 0, and number of parts; absent when there is one part. */
  part?: { index: number; count: number };
}

/** Confirms a ConfigDelta message that carried a list of members to inform. */
export interface ConfigAckMessage {
  type: PeerMessageType.ConfigAck;
  /** Last version of the confirmed message. */
  version: number;
}

/** How a request ended. */
export enum Outcome {
  /** The whole answer of a backend server. */
  Answered = 'answered',
  /** The request certainly did not run. */
  NotRun = 'not-run',
  /** The request may or may not have run. */
  Unknown = 'unknown',
}

/** A request passed to another entry process. */
export interface ForwardMessage {
  type: PeerMessageType.Forward;
  /** Unique per link direction; matches the answer. */
  forwardId: number;
  requestId: string;
  origin: MemberId;
  team: string;
  service: string;
  urgent: boolean;
  idempotent: boolean;
  /** Milliseconds left until the deadline, measured when the message is written. */
  remainingMs: number;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** True when sent to the issuer of the request id, which decides whether it may run. */
  toIssuer: boolean;
}

/** Final answer to a forwarded request. */
export interface ForwardAnswerMessage {
  type: PeerMessageType.ForwardAnswer;
  forwardId: number;
  requestId: string;
  outcome: Outcome;
  /** Refusal or failure reason; absent for whole answers. */
  reason?: string;
  message?: string;
  retryAfterMs?: number;
  status?: number;
  headers?: Record<string, string>;
  body?: Uint8Array;
}

/** The caller of a forwarded request went away. */
export interface ForwardCancelMessage {
  type: PeerMessageType.ForwardCancel;
  forwardId: number;
}

/** A job was recorded for the receiver's zone. */
export interface JobNoticeMessage {
  type: PeerMessageType.JobNotice;
  zone: string;
  jobId: string;
  urgent: boolean;
}

/** The sender shuts down gracefully. */
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

/** Codes of {@link PeerError}. */
export enum PeerErrorCode {
  /** No link to the member; nothing was sent. */
  NotConnected = 'not_connected',
  /** The outgoing buffer of the link is full; nothing was sent. */
  Overloaded = 'overloaded',
  /** The message is larger than the frame limit; nothing was sent. */
  TooLarge = 'too_large',
  BadFrame = 'bad_frame',
  HandshakeFailed = 'handshake_failed',
  /** The peer listener could not be opened. */
  ListenFailed = 'listen_failed',
  /** The shared secret is missing or too short. */
  WeakSecret = 'weak_secret',
}

/** Sending to or talking with a peer failed. */
export class PeerError extends BaseError<PeerErrorCode> {}

/** Handles a message from an authenticated peer. */
export type PeerMessageHandler<M extends PeerMessage = PeerMessage> = (
  from: MemberInfo,
  message: M,
) => void;

/** Links to the other entry processes. */
export interface PeerNetwork {
  readonly self: MemberInfo;
  /** Members with an authenticated link at this moment. */
  connected(): readonly MemberInfo[];
  /** Adds a member to connect to. */
  addMember(member: MemberInfo): void;
  /** Adds an address to connect to while no link to a member at this address is up. */
  addSeed?(host: string, port: number): void;
  /** Closes the link to a member and stops reconnecting. */
  removeMember(name: string): void;
  /** Lets the link to a member be silent for longer than the settings allow, in milliseconds. */
  setIdleTimeout?(name: string, ms: number): void;
  /**
   * Hands a message to the link. Ok means that it was queued for writing, not that it arrived.
   * An error means that nothing was sent.
   */
  send(name: string, message: PeerMessage): Result<void, PeerError>;
  /** Registers the handler of one message type. One handler per type. */
  handle<T extends PeerMessage['type']>(
    type: T,
    handler: PeerMessageHandler<Extract<PeerMessage, { type: T }>>,
  ): void;
  /** Called when a link is up after the handshake, or down. */
  onLink(listener: (member: MemberInfo, up: boolean) => void): void;
}
