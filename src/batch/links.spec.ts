import { connect, createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import { systemClock } from '../clock/index.js';
import { Lifecycle } from '../lifecycle/index.js';
import { encodeFrame } from '../peers/framing.js';
import { Counters } from './counters.js';
import { DecisionLog } from './decisionLog.js';
import { withStepDefaults } from './jobCodec.js';
import { LinkErrorCode, Links } from './links.js';
import { decodeNodeAnswer, decodeNodeCall, NodeCallKind } from './nodeCalls.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 5_000;
const MAX_FRAME_BYTES = 65_536;
const PROPERTY_PARAMETERS = { numRuns: 500, seed: 20_261_204 };

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Sends bytes and waits until the other side has closed the connection or answered. */
async function sendBytes(port: number, bytes: Buffer): Promise<void> {
  const socket = connect({ host: HOST, port });
  await new Promise<void>((resolve) => {
    for (const event of ['close', 'error', 'data']) {
      socket.once(event, () => {
        resolve();
      });
    }
    socket.end(bytes);
  });
  socket.destroy();
}

const frameOf = (value: unknown): Buffer => {
  const frame = encodeFrame(value, MAX_FRAME_BYTES);
  if (frame.isErr) throw frame.error;
  return frame.value;
};

/** A frame with lists of one element inside each other. */
function nestedFrame(depth: number): Buffer {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(depth);
  return Buffer.concat([header, Buffer.alloc(depth, 0x81)]);
}

const malformed: { title: string; bytes: Buffer }[] = [
  { title: 'bytes that are no frame', bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n') },
  { title: 'a frame of null', bytes: frameOf(null) },
  { title: 'a frame of text', bytes: frameOf('text') },
  { title: 'a frame without a call number', bytes: frameOf({ body: {} }) },
  {
    title: 'a frame of deeply nested lists',
    bytes: nestedFrame(50_000),
  },
  { title: 'a call that the node rejects', bytes: frameOf({ call: 1, body: null }) },
];

for (const { title, bytes } of malformed) {
  // Guards against one malformed message of another node that ends the process.
  test(`${title}: later calls are answered`, async (t) => {
    const port = await freePort();
    const deps = { host: HOST, port, clock: systemClock, counters: new Counters() };
    const log = new DecisionLog({ write: () => true }, systemClock);
    const links = new Links({ ...deps, log });
    const lifecycle = new Lifecycle('links');
    await links.listen((body) => {
      return body === null ? Promise.reject(new TypeError('null')) : Promise.resolve(body);
    }, lifecycle);
    await sendBytes(port, bytes);
    const res = await links.call(links.address, { kind: 'load' }, CALL_TIMEOUT_MS);
    t.deepEqual(res.isOk && res.value, { kind: 'load' });
    await lifecycle.close();
  });
}

test('decoders of calls and answers do not throw on arbitrary values', (t) => {
  const kind = fc.constantFrom<unknown>(...Object.values(NodeCallKind));
  const call = fc.record({ kind, service: fc.string(), job: fc.jsonValue(), spec: fc.jsonValue() });
  fc.assert(
    fc.property(fc.oneof(fc.jsonValue(), call), (value) => {
      const decoded = decodeNodeCall(value);
      t.true(decoded === undefined || typeof decoded.service === 'string');
      decodeNodeAnswer(value);
    }),
    PROPERTY_PARAMETERS,
  );
});

const submit = { kind: NodeCallKind.Submit, service: 's' };
const spec = {
  id: 'a',
  queue: 'q',
  payload: '',
  steps: [withStepDefaults({})],
  occurrences: 0,
  firstDueMs: 0,
  periodMs: 0,
  acceptedMs: 0,
};
const calls: { title: string; call: unknown; isValid: boolean }[] = [
  { title: 'a submission', call: { ...submit, spec }, isValid: true },
  { title: 'a submission without a spec', call: submit, isValid: false },
  {
    title: 'a submission with a null step',
    call: { ...submit, spec: { ...spec, steps: [null] } },
    isValid: false,
  },
  { title: 'an unknown kind', call: { kind: 'reboot', service: 's' }, isValid: false },
  { title: 'a call without a service', call: { kind: NodeCallKind.Load }, isValid: false },
  {
    title: 'a status call without a job',
    call: { kind: NodeCallKind.Status, service: 's' },
    isValid: false,
  },
];

for (const { title, call, isValid } of calls) {
  test(`${title} is ${isValid ? 'accepted' : 'malformed'}`, (t) => {
    t.is(decodeNodeCall(call) !== undefined, isValid);
  });
}

const malformedAddresses = ['', 'node', '10.0.0.1', '127.0.0.1:0', '127.0.0.1:65536', '[::1]:80'];

for (const address of malformedAddresses) {
  // Guards against a row with a malformed address that ends the task of whoever calls that node.
  test(`a call to the address "${address}" is not sent`, async (t) => {
    const log = new DecisionLog({ write: () => true }, systemClock);
    const counters = new Counters();
    const links = new Links({ host: HOST, port: 1, clock: systemClock, counters, log });
    const res = await links.call(address, {}, CALL_TIMEOUT_MS);
    t.is(res.isErr && res.error.code, LinkErrorCode.NotSent);
  });
}
