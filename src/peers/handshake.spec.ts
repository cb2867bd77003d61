import { PassThrough } from 'node:stream';
import test from 'ava';
import { acceptHandshake, dialHandshake, type HandshakeChannel } from './handshake.js';
import { PeerMessageType, type MemberInfo } from './types.js';

const SECRET = 'a secret of the deployment';

function memberInfo(name: string): MemberInfo {
  return {
    name,
    incarnation: '0'.repeat(16),
    zone: 'z0',
    host: '127.0.0.1',
    port: 1,
    startedAt: 0,
  };
}

/** Two connected in-memory channels, and the list of messages that either end has sent. */
function channelPair(): [HandshakeChannel, HandshakeChannel, unknown[]] {
  const sentMessages: unknown[] = [];
  const streams = [new PassThrough({ objectMode: true }), new PassThrough({ objectMode: true })];
  const [first, second] = streams.map((stream) => stream[Symbol.asyncIterator]());
  const createEnd = (
    incoming: typeof first,
    outgoing: PassThrough | undefined,
  ): HandshakeChannel => ({
    send: (message) => {
      sentMessages.push(message);
      outgoing?.write(message);
    },
    receive: async () => (await incoming?.next())?.value as unknown,
  });
  return [createEnd(first, streams[1]), createEnd(second, streams[0]), sentMessages];
}

type Accept = typeof acceptHandshake;

const options = (name: string, secret = SECRET) => ({
  self: memberInfo(name),
  secret,
  refusalReasonFor: () => undefined,
});

/** An authentication attempt without the secret; `run` returns whether the acceptor accepts it. */
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
  info: memberInfo('mallory'),
  nonce,
});

const attacks: Attack[] = [
  {
    title: 'a dialer with another secret',
    run: (accept) => {
      const [dialer, acceptor] = channelPair();
      void dialHandshake(dialer, options('mallory', 'some other shared secret')).catch(() => null);
      return isAccepted(accept(acceptor, options('b')));
    },
  },
  {
    title: 'a proof replayed from an earlier handshake',
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
    title: 'a proof that the acceptor itself made while dialing the attacker',
    run: async (accept) => {
      const [attacker, target] = channelPair();
      const accepted = isAccepted(accept(target, options('b')));
      attacker.send(hello(Buffer.alloc(32)));
      const challenge = (await attacker.receive()) as { nonce: Uint8Array };
      const [victim, impostor] = channelPair();
      void dialHandshake(victim, options('b')).catch(() => null);
      await impostor.receive();
      impostor.send({ type: PeerMessageType.Challenge, nonce: challenge.nonce });
      attacker.send(await impostor.receive());
      return accepted;
    },
  },
  {
    title: 'an empty proof',
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

/** An incorrect acceptor that accepts any proof. */
const acceptAnyProof: Accept = async (channel) => {
  const message = (await channel.receive()) as { info: MemberInfo };
  channel.send({ type: PeerMessageType.Challenge, nonce: new Uint8Array(32) });
  await channel.receive();
  return message.info;
};

// Guards against accepting messages from processes outside the deployment.
for (const { title, run } of attacks) {
  test(`the acceptor rejects ${title}`, async (t) => {
    t.false(await run(acceptHandshake));
    t.true(await run(acceptAnyProof));
  });
}

test('members with the same secret authenticate each other', async (t) => {
  const [dialer, acceptor] = channelPair();
  const [seenByDialer, seenByAcceptor] = await Promise.all([
    dialHandshake(dialer, options('a')),
    acceptHandshake(acceptor, options('b')),
  ]);
  t.is(seenByDialer.name, 'b');
  t.is(seenByAcceptor.name, 'a');
});

// Guards against a process without the secret that impersonates an acceptor.
test('the dialer rejects an acceptor with another secret', async (t) => {
  const [dialer, acceptor] = channelPair();
  void acceptHandshake(acceptor, options('mallory', 'some other shared secret')).catch(() => null);
  const welcome = {
    type: PeerMessageType.Welcome,
    info: memberInfo('mallory'),
    mac: Buffer.alloc(32),
  };
  acceptor.send({ type: PeerMessageType.Challenge, nonce: Buffer.alloc(32) });
  acceptor.send(welcome);
  await t.throwsAsync(() => dialHandshake(dialer, options('a')), { message: /wrong proof/ });
});
