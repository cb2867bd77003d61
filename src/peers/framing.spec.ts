import test from 'ava';
import fc from 'fast-check';
import { PeerError, PeerErrorCode, encodeFrame, readFrames } from './index.js';

/** Seed of the property-based test. */
const SEED = 20_261_205;

const MAX_BYTES = 4_096;

type FrameReader = typeof readFrames;

async function* chunksOf(bytes: Buffer, sizes: number[]): AsyncGenerator<Buffer> {
  let start = 0;
  for (let index = 0; start < bytes.length; index++) {
    const size = sizes[index % sizes.length] ?? 1;
    yield await Promise.resolve(bytes.subarray(start, start + size));
    start += size;
  }
}

/** Whether a reader returns the sent bodies for every way to split the stream into chunks. */
async function readsWholeFrames(reader: FrameReader): Promise<boolean> {
  const messages = fc.array(fc.uint8Array({ maxLength: 300 }), { minLength: 1, maxLength: 8 });
  const sizes = fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 5 });
  const property = fc.asyncProperty(messages, sizes, async (sent, chunkSizes) => {
    const frames = sent.map((body) => encodeFrame(body, MAX_BYTES).unwrapOr(Buffer.alloc(0)));
    const read: Buffer[] = [];
    for await (const body of reader(chunksOf(Buffer.concat(frames), chunkSizes), () => MAX_BYTES)) {
      read.push(body);
    }
    return Buffer.concat(read).equals(Buffer.concat(frames.map((frame) => frame.subarray(4))));
  });
  return !(await fc.check(property, { seed: SEED, numRuns: 200 })).failed;
}

/** An incorrect reader that treats each chunk as one frame. */
async function* chunkPerFrame(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void> {
  for await (const chunk of chunks) yield chunk.subarray(4);
}

// Guards against split or merged messages when TCP chunks do not match the frame boundaries.
test(`frames are reassembled from arbitrary chunks (seed ${SEED})`, async (t) => {
  t.true(await readsWholeFrames(readFrames));
  t.false(await readsWholeFrames(chunkPerFrame));
});

// Guards against unbounded buffering caused by a peer that announces a huge frame.
test('a frame above the size limit is rejected before its body is read', async (t) => {
  const frame = encodeFrame(Buffer.alloc(100), MAX_BYTES).unwrapOr(Buffer.alloc(0));
  const reader = readFrames(chunksOf(frame.subarray(0, 4), [4]), () => 99);
  const err = await t.throwsAsync(() => reader.next(), { instanceOf: PeerError });
  t.is(err.code, PeerErrorCode.BadFrame);
  const tooLarge = encodeFrame(Buffer.alloc(100), 99);
  t.is(tooLarge.isErr && tooLarge.error.code, PeerErrorCode.TooLarge);
});
