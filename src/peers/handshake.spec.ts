import { PassThrough } from 'node:stream';
import test from 'ava';
import { acceptHandshake, dialHandshake, type HandshakeChannel } from './handshake.js';
import { PeerMessageType, type MemberInfo } from './types.js';

const SECRET = 'a secret of the deployment';

function info(name: string): MemberInfo {
  return {
    name,
    incarnation: '0'.repeat(16),
    zone: 'z0',
    host: '127.0.0.1',
    port: 1,
    startedAt: 0,
  };
}

/** One end of a channel; `log` receives what this end sends. */
function channelPair(): [HandshakeChannel, HandshakeChannel, unknown[]] {
  const log: unknown[] = [];
  const streams = [new PassThrough({ objectMode: true }), new PassThrough({ objectMode: true })];
  const [first, second] = streams.map((stream) => stream[Symbol.asyncIterator]());
  const end = (incoming: typeof first, outgoing: PassThrough | undefined): HandshakeChannel => ({
    send: (message) => {
      log.push(message);
      outgoing?.write(message);
    },
    receive: async () => (await incoming?.next())?.value as unknown,
  });
  return [end(first, streams[1]), end(second, streams[0]), log];
}

type Accept = typeof acceptHandshake;

const options = (name: string, secret = SECRET) => ({
  self: info(name),
  secret,
  refusal: () => undefined,
});

/** An attack returns whether it was taken for a member by the acceptor. */
interface Attack {
  title: string;
  run: (accept: Accept) => Promise<boolean>;
}

async function isAccepted(accepted: Promise<MemberInfo>): Promise<boolean> {
  return accepted.then(
    () => true,
    () => false,
  );
}

const hello = (nonce: Uint8Array) => ({
  type: PeerMessageType.Hello,
  protocol: 1,
  info: info('mallory'),
  nonce,
});

const attacks: Attack[] = [
  {
    title: 'another secret',
    run: (accept) => {
      const [dialer, acceptor] = channelPair();
      void dialHandshake(dialer, options('mallory', 'some other shared secret')).catch(() => null);
      return isAccepted(accept(acceptor, options('b')));
    },
  },
  {
    title: 'a recorded proof of a former handshake',
    run: async (accept) => {
      const [dialer, acceptor, log] = channelPair();
      await Promise.all([
        dialHandshake(dialer, options('mallory')),
        acceptHandshake(acceptor, options('b')),
      ]);
      const [replayer, target] = channelPair();
      const accepted = isAccepted(accept(target, options('b')));
      replayer.send(log[0]);
      replayer.send(log[2]);
      return accepted;
    },
  },
  {
    title: 'a proof reflected from the acceptor that dials the attacker',
    run: async (accept) => {
      const [attacker, target] = channelPair();
      const accepted = isAccepted(accept(target, options('b')));
      attacker.send(hello(Buffer.alloc(32)));
      const challenge = (await attacker.receive()) as { nonce: Uint8Array };
      const [victim, back] = channelPair();
      void dialHandshake(victim, options('b')).catch(() => null);
      await back.receive();
      back.send({ type: PeerMessageType.Challenge, nonce: challenge.nonce });
      attacker.send(await back.receive());
      return accepted;
    },
  },
  {
    title: 'no proof at all',
    run: async (accept) => {
      const [attacker, target] = channelPair();
      const accepted = isAccepted(accept(target, options('b')));
      attacker.send(hello(Buffer.alloc(32)));
      await attacker.receive();
      attacker.send({ type: PeerMessageType.Proof, mac: new Uint8Array() });
      return accepted;
    },
  },
];

/** A wrong acceptor that takes any proof. */
const acceptAnyProof: Accept = async (channel) => {
  const message = (await channel.receive()) as { info: MemberInfo };
  channel.send({ type: PeerMessageType.Challenge, nonce: new Uint8Array(32) });
  await channel.receive();
  return message.info;
};

// Each attack guards against messages from processes outside the deployment.
for (const { title, run } of attacks) {
  test(`handshake refuses ${title}`, async (t) => {
    t.false(await run(acceptHandshake));
    t.true(await run(acceptAnyProof));
  });
}

test('members with the same secret learn each other’s identity', async (t) => {
  const [dialer, acceptor] = channelPair();
  const [seenByDialer, seenByAcceptor] = await Promise.all([
    dialHandshake(dialer, options('a')),
    acceptHandshake(acceptor, options('b')),
  ]);
  t.is(seenByDialer.name, 'b');
  t.is(seenByAcceptor.name, 'a');
});

// Guards against a process without the secret that poses as an acceptor.
test('a dialer refuses an acceptor with another secret', async (t) => {
  const [dialer, acceptor] = channelPair();
  void acceptHandshake(acceptor, options('mallory', 'some other shared secret')).catch(() => null);
  const welcome = { type: PeerMessageType.Welcome, info: info('mallory'), mac: Buffer.alloc(32) };
  acceptor.send({ type: PeerMessageType.Challenge, nonce: Buffer.alloc(32) });
  acceptor.send(welcome);
  await t.throwsAsync(() => dialHandshake(dialer, options('a')), { message: /wrong proof/ });
});
