import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { PeerError, PeerErrorCode, PeerMessageType, type MemberInfo } from './types.js';

/** Version of the peer protocol; members with another version are refused. */
export const PROTOCOL_VERSION = 1;

/** Largest frame body in bytes before a peer has proved membership. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4_096;

/** Bytes of a challenge. */
const NONCE_BYTES = 32;

/** Longest name, zone or address in characters. */
const MAX_FIELD_LENGTH = 256;

/** Roles in the handshake; part of each proof, so that a proof can't be sent back to its author. */
enum Role {
  Dialer = 'dialer',
  Acceptor = 'acceptor',
}

const text = z.string().min(1).max(MAX_FIELD_LENGTH);
const bytes = z.instanceof(Uint8Array);

/** Schema of {@link MemberInfo} in messages. */
export const memberInfoSchema: z.ZodType<MemberInfo> = z.object({
  name: text,
  incarnation: text,
  zone: text,
  host: text,
  port: z.int().min(0).max(65_535),
  startedAt: z.number(),
});

const helloSchema = z.object({
  type: z.literal(PeerMessageType.Hello),
  protocol: z.literal(PROTOCOL_VERSION),
  info: memberInfoSchema,
  nonce: bytes,
});
const challengeSchema = z.object({ type: z.literal(PeerMessageType.Challenge), nonce: bytes });
const proofSchema = z.object({ type: z.literal(PeerMessageType.Proof), mac: bytes });
const welcomeSchema = z.object({
  type: z.literal(PeerMessageType.Welcome),
  info: memberInfoSchema,
  mac: bytes,
});

/** The two ends of a connection during the handshake. */
export interface HandshakeChannel {
  send(message: unknown): void;
  /** Receives the next message; throws PeerError when the connection ends first. */
  receive(): Promise<unknown>;
}

/** What both sides of a handshake need. */
export interface HandshakeOptions {
  self: MemberInfo;
  secret: string;
  /** Decides whether an authenticated member is welcome; returns a reason to refuse it. */
  refusal: (member: MemberInfo) => string | undefined;
}

/**
 * Proves membership to the acceptor and checks its proof.
 *
 * @returns the acceptor
 * @throws PeerError HandshakeFailed
 */
export async function dialHandshake(
  channel: HandshakeChannel,
  { self, secret, refusal }: HandshakeOptions,
): Promise<MemberInfo> {
  const nonce = randomBytes(NONCE_BYTES);
  channel.send({ type: PeerMessageType.Hello, protocol: PROTOCOL_VERSION, info: self, nonce });
  const challenge = parse(challengeSchema, await channel.receive());
  const mac = prove(secret, Role.Dialer, nonce, challenge.nonce, self);
  channel.send({ type: PeerMessageType.Proof, mac });
  const welcome = parse(welcomeSchema, await channel.receive());
  const expected = prove(secret, Role.Acceptor, nonce, challenge.nonce, welcome.info);
  checkProof(expected, welcome.mac);
  checkWelcome(welcome.info, refusal);
  return welcome.info;
}

/**
 * Challenges a dialer and, after its proof, proves membership to it.
 *
 * @returns the dialer
 * @throws PeerError HandshakeFailed
 */
export async function acceptHandshake(
  channel: HandshakeChannel,
  { self, secret, refusal }: HandshakeOptions,
): Promise<MemberInfo> {
  const hello = parse(helloSchema, await channel.receive());
  const nonce = randomBytes(NONCE_BYTES);
  channel.send({ type: PeerMessageType.Challenge, nonce });
  const proof = parse(proofSchema, await channel.receive());
  checkProof(prove(secret, Role.Dialer, hello.nonce, nonce, hello.info), proof.mac);
  checkWelcome(hello.info, refusal);
  const mac = prove(secret, Role.Acceptor, hello.nonce, nonce, self);
  channel.send({ type: PeerMessageType.Welcome, info: self, mac });
  return hello.info;
}

function prove(
  secret: string,
  role: Role,
  dialerNonce: Uint8Array,
  acceptorNonce: Uint8Array,
  info: MemberInfo,
): Buffer {
  const fields = [
    PROTOCOL_VERSION,
    role,
    Buffer.from(dialerNonce).toString('hex'),
    Buffer.from(acceptorNonce).toString('hex'),
    info.name,
    info.incarnation,
    info.zone,
    info.host,
    info.port,
    info.startedAt,
  ];
  return createHmac('sha256', secret).update(JSON.stringify(fields)).digest();
}

function checkProof(expected: Buffer, found: Uint8Array): void {
  if (found.length === expected.length && timingSafeEqual(expected, found)) return;
  throw new PeerError(PeerErrorCode.HandshakeFailed, 'wrong proof of membership');
}

function checkWelcome(info: MemberInfo, refusal: HandshakeOptions['refusal']): void {
  const reason = refusal(info);
  if (reason === undefined) return;
  throw new PeerError(PeerErrorCode.HandshakeFailed, `member ${info.name} is refused: ${reason}`);
}

function parse<T>(schema: z.ZodType<T>, message: unknown): T {
  const parsed = schema.safeParse(message);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const found = issue ? `${issue.path.join('.')}: ${issue.message}` : 'unknown issue';
  throw new PeerError(PeerErrorCode.HandshakeFailed, `unexpected handshake message: ${found}`);
}
