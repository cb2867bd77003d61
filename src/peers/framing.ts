import { Encoder } from 'cbor-x';
import { Result } from 'true-myth';
import { PeerError, PeerErrorCode } from './types.js';

/** Bytes of the length in front of each frame. */
export const HEADER_BYTES = 4;

const codec = new Encoder({ useRecords: false, tagUint8Array: false });

/** Encodes a message as a frame: length as 4 bytes, big-endian, then the CBOR body. */
export function encodeFrame(message: unknown, maxFrameBytes: number): Result<Buffer, PeerError> {
  const body = codec.encode(message);
  if (body.length > maxFrameBytes) {
    const text = `message of ${body.length} bytes is larger than the limit of ${maxFrameBytes}`;
    return Result.err(new PeerError(PeerErrorCode.TooLarge, text));
  }
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Result.ok(Buffer.concat([header, body]));
}

/** Decodes the body of a frame. */
export function decodeBody(body: Uint8Array): Result<unknown, PeerError> {
  try {
    return Result.ok(codec.decode(body) as unknown);
  } catch (err) {
    return Result.err(new PeerError(PeerErrorCode.BadFrame, 'frame body is not CBOR', err));
  }
}

/**
 * Reads frame bodies from a stream of bytes. Bytes are kept only up to one frame.
 *
 * @param chunks - the stream
 * @param limit - returns the largest accepted body in bytes, asked for before each frame
 * @throws PeerError BadFrame when a frame is larger than the limit
 */
export async function* readFrames(
  chunks: AsyncIterable<Buffer>,
  limit: () => number,
): AsyncGenerator<Buffer, void, undefined> {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let wanted = HEADER_BYTES;
  let inBody = false;
  for await (const chunk of chunks) {
    pending.push(chunk);
    pendingBytes += chunk.length;
    while (pendingBytes >= wanted) {
      const [first] = pending;
      const all = first?.length === pendingBytes ? first : Buffer.concat(pending);
      const part = all.subarray(0, wanted);
      pending = [all.subarray(wanted)];
      pendingBytes = all.length - wanted;
      if (inBody) {
        inBody = false;
        wanted = HEADER_BYTES;
        yield part;
        continue;
      }
      inBody = true;
      wanted = checkedLength(part.readUInt32BE(), limit());
    }
  }
}

function checkedLength(length: number, limit: number): number {
  if (length <= limit) return length;
  const text = `frame of ${length} bytes is larger than the limit of ${limit}`;
  throw new PeerError(PeerErrorCode.BadFrame, text);
}
