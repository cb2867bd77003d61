import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';
import { PeerError, PeerErrorCode } from './types.js';

/** Size of the length prefix of a frame in bytes. */
export const HEADER_BYTES = 4;

const codec = new Encoder({ useRecords: false, tagUint8Array: false });

/** Encodes a message as a frame: a 4-byte big-endian body length, then the body as CBOR. */
export function encodeFrame(message: unknown, maxFrameBytes: number): Result<Buffer, PeerError> {
  const body = codec.encode(message);
  if (body.length > maxFrameBytes) {
    const text = `message of ${body.length} bytes exceeds the limit of ${maxFrameBytes}`;
    return Result.err(new PeerError(PeerErrorCode.TooLarge, text));
  }
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Result.ok(Buffer.concat([header, body]));
}

/** Decodes the CBOR body of a frame; returns PeerError BadFrame if it is malformed. */
export function decodeBody(body: Uint8Array): Result<unknown, PeerError> {
  try {
    return Result.ok(codec.decode(body) as unknown);
  } catch (err) {
    return Result.err(new PeerError(PeerErrorCode.BadFrame, 'frame body is not valid CBOR', err));
  }
}

/**
 * Splits a byte stream into frame bodies. Buffers at most one incomplete frame besides the current
 * chunk.
 *
 * @param chunks - the byte stream
 * @param limit - returns the maximum body size in bytes; called before each body is read
 * @throws PeerError BadFrame if a body exceeds the limit
 */
export async function* readFrames(
  chunks: AsyncIterable<Buffer>,
  limit: () => number,
): AsyncGenerator<Buffer, void, undefined> {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let neededBytes = HEADER_BYTES;
  let inBody = false;
  for await (const chunk of chunks) {
    pending.push(chunk);
    pendingBytes += chunk.length;
    while (pendingBytes >= neededBytes) {
      const [first] = pending;
      const buffered = first?.length === pendingBytes ? first : Buffer.concat(pending);
      const part = buffered.subarray(0, neededBytes);
      pending = [buffered.subarray(neededBytes)];
      pendingBytes = buffered.length - neededBytes;
      if (inBody) {
        inBody = false;
        neededBytes = HEADER_BYTES;
        yield part;
        continue;
      }
      inBody = true;
      neededBytes = validateLength(part.readUInt32BE(), limit());
    }
  }
}

function validateLength(length: number, limit: number): number {
  if (length <= limit) return length;
  const text = `frame of ${length} bytes exceeds the limit of ${limit}`;
  throw new PeerError(PeerErrorCode.BadFrame, text);
}
