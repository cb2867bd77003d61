import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { PeerError, PeerErrorCode, PeerMessageType, type MemberInfo } from './types.js';

/** Version of the peer protocol; connections from members with another version are refused. */
export const PROTOCOL_VERSION = 1;

/** Maximum size of a frame body in bytes before the peer is authenticated. */
export const MAX_HANDSHAKE_FRAME_BYTES = 4_096;

const NONCE_BYTES = 32;

/** Maximum length of a name, incarnation, zone or host in characters. */
const MAX_FIELD_LENGTH = 256;

/** Role in the handshake. A proof covers the role, so it cannot be reflected to its author. */
enum HandshakeRole {
  Dialer = 'dialer',
  Acceptor = 'acceptor',
}

const textSchema = z.string().min(1).max(MAX_FIELD_LENGTH);
const bytesSchema = z.instanceof(Uint8Array);

/** Schema of {@link MemberInfo} in peer messages. */
export const memberInfoSchema: z.ZodType<MemberInfo> = z.object({
  name: textSchema,
  incarnation: textSchema,
  zone: textSchema,
  host: textSchema,
  port: z.int().min(0).max(65_535),
  startedAt: z.number(),
});

const helloSchema = z.object({
  type: z.literal(PeerMessageType.Hello),
  protocol: z.literal(PROTOCOL_VERSION),
  info: memberInfoSchema,
  nonce: bytesSchema,
});
const challengeSchema = z.object({
  type: z.literal(PeerMessageType.Challenge),
  nonce: bytesSchema,
});
const proofSchema = z.object({ type: z.literal(PeerMessageType.Proof), mac: bytesSchema });
const welcomeSchema = z.object({
  type: z.literal(PeerMessageType.Welcome),
  info: memberInfoSchema,
  mac: bytesSchema,
});

/** One end of a connection during the handshake. */
export interface HandshakeChannel {
  send(message: unknown): void;
  /** Receives the next message; throws PeerError if the connection is closed first. */
  receive(): Promise<unknown>;
}

/** Options of {@link dialHandshake} and {@link acceptHandshake}. */
export interface HandshakeOptions {
  self: MemberInfo;
  secret: string;
  /** Returns why an authenticated member is refused, or undefined to accept it. */
  refusalReasonFor: (member: MemberInfo) => string | undefined;
}

/**
 * Performs the dialer's side of the handshake: proves membership, then verifies the proof of the
 * acceptor.
 *
 * @returns the authenticated acceptor
 * @throws PeerError HandshakeFailed
 */
export async function dialHandshake(
  channel: HandshakeChannel,
  { self, secret, refusalReasonFor }: HandshakeOptions,
): Promise<MemberInfo> {
  const nonce = randomBytes(NONCE_BYTES);
  channel.send({ type: PeerMessageType.Hello, protocol: PROTOCOL_VERSION, info: self, nonce });
  const challenge = parse(challengeSchema, await channel.receive());
  const mac = computeProof(secret, HandshakeRole.Dialer, nonce, challenge.nonce, self);
  channel.send({ type: PeerMessageType.Proof, mac });
  const welcome = parse(welcomeSchema, await channel.receive());
  const expected = computeProof(
    secret,
    HandshakeRole.Acceptor,
    nonce,
    challenge.nonce,
    welcome.info,
  );
  checkProof(expected, welcome.mac);
  assertNotRefused(welcome.info, refusalReasonFor);
  return welcome.info;
}

/**
 * Performs the acceptor's side of the handshake: challenges the dialer, verifies its proof, and
 * only then proves membership to it.
 *
 * @returns the authenticated dialer
 * @throws PeerError HandshakeFailed
 */
export async function acceptHandshake(
  channel: HandshakeChannel,
  { self, secret, refusalReasonFor }: HandshakeOptions,
): Promise<MemberInfo> {
  const hello = parse(helloSchema, await channel.receive());
  const nonce = randomBytes(NONCE_BYTES);
  channel.send({ type: PeerMessageType.Challenge, nonce });
  const proof = parse(proofSchema, await channel.receive());
  checkProof(computeProof(secret, HandshakeRole.Dialer, hello.nonce, nonce, hello.info), proof.mac);
  assertNotRefused(hello.info, refusalReasonFor);
  const mac = computeProof(secret, HandshakeRole.Acceptor, hello.nonce, nonce, self);
  channel.send({ type: PeerMessageType.Welcome, info: self, mac });
  return hello.info;
}

function computeProof(
  secret: string,
  role: HandshakeRole,
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

function checkProof(expected: Buffer, received: Uint8Array): void {
  if (received.length === expected.length && timingSafeEqual(expected, received)) return;
  throw new PeerError(
    PeerErrorCode.HandshakeFailed,
    'wrong proof of membership: the peer may use another secret',
  );
}

function assertNotRefused(info: MemberInfo, getReason: HandshakeOptions['refusalReasonFor']): void {
  const reason = getReason(info);
  if (reason === undefined) return;
  throw new PeerError(PeerErrorCode.HandshakeFailed, `member ${info.name} refused: ${reason}`);
}

function parse<T>(schema: z.ZodType<T>, message: unknown): T {
  const parsed = schema.safeParse(message);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const detail = issue ? `${issue.path.join('.')}: ${issue.message}` : 'unknown validation error';
  throw new PeerError(PeerErrorCode.HandshakeFailed, `invalid handshake message: ${detail}`);
}
