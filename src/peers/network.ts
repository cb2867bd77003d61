import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { messageOf } from '../errors/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Random } from '../random/index.js';
import { Connection } from './connection.js';
import { PartitionDirection, Cuts } from './cuts.js';
import type { PeersSettings } from './defaults.js';
import { DialLimit } from './dialLimit.js';
import { acceptHandshake, dialHandshake } from './handshake.js';
import { Links, RefusalReason } from './links.js';
import {
  PeerError,
  PeerErrorCode,
  PeerMessageType,
  type MemberInfo,
  type PeerMessage,
  type PeerMessageHandler,
  type PeerNetwork,
} from './types.js';

/** Shortest accepted secret in characters. */
const MIN_SECRET_LENGTH = 16;

/** Options of {@link createPeerNetwork}. */
export interface PeerNetworkOptions {
  /** Identity of this process; host and port are replaced by the advertised ones. */
  self: MemberInfo;
  settings: PeersSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
}

/** Links over TCP, with fault switches for tests. */
export interface TcpPeerNetwork extends PeerNetwork {
  addSeed(host: string, port: number): void;
  /** Loses messages from or to a member or zone, and keeps new connections from being made. */
  setPartition(memberOrZone: string, direction: PartitionDirection, on: boolean): void;
}

/** What a peer task connects to. */
interface Target {
  lifecycle: Lifecycle;
  host: string;
  port: number;
  /** Expected member; undefined for a seed, whose member is not known before the handshake. */
  member?: MemberInfo;
}

/**
 * Opens the peer listener and keeps links to the members that are added.
 *
 * @param lifecycle - closes the listener and all links
 * @returns the network, or PeerError WeakSecret or ListenFailed
 */
export async function createPeerNetwork(
  options: PeerNetworkOptions,
  lifecycle: Lifecycle,
): Promise<Result<TcpPeerNetwork, PeerError>> {
  const { settings } = options;
  if (settings.secret.length < MIN_SECRET_LENGTH) {
    const text = `the peer secret has ${settings.secret.length} characters, expected at least ${MIN_SECRET_LENGTH}`;
    return Result.err(new PeerError(PeerErrorCode.WeakSecret, text));
  }
  const server = createServer();
  try {
    server.listen(settings.port, settings.listenHost);
    await once(server, 'listening');
  } catch (err) {
    const text = `cannot listen on ${settings.listenHost}:${settings.port}: ${messageOf(err)}`;
    return Result.err(new PeerError(PeerErrorCode.ListenFailed, text, err));
  }
  const { port } = server.address() as AddressInfo;
  const self = { ...options.self, host: settings.advertiseHost, port };
  return Result.ok(new TcpNetwork({ ...options, self }, lifecycle, server));
}

class TcpNetwork implements TcpPeerNetwork {
  readonly self: MemberInfo;
  readonly #options: PeerNetworkOptions;
  readonly #lifecycle: Lifecycle;
  readonly #links: Links;
  readonly #cuts = new Cuts();
  readonly #dials: DialLimit;
  readonly #targets = new Map<string, Target>();
  readonly #handlers = new Map<string, PeerMessageHandler>();
  readonly #counters: ReturnType<typeof createCounters>;
  #inbound = 0;

  constructor(options: PeerNetworkOptions, lifecycle: Lifecycle, server: Server) {
    this.self = options.self;
    this.#options = options;
    this.#lifecycle = lifecycle;
    this.#counters = createCounters(options.metrics);
    this.#links = new Links(options.self, options.clock, options.settings.handshakeTimeoutMs);
    this.#dials = new DialLimit(options.settings.maxDials);
    lifecycle.own('peer listener', () => closeServer(server));
    server.on('connection', (socket) => {
      this.#accept(socket);
    });
  }

  connected(): readonly MemberInfo[] {
    return this.#links.members();
  }

  addMember(member: MemberInfo): void {
    if (member.name === this.self.name) return;
    const { host, port } = member;
    this.#addTarget(`member/${member.name}`, { host, port, member });
  }

  addSeed(host: string, port: number): void {
    if (host === this.self.host && port === this.self.port) return;
    this.#addTarget(`seed/${host}:${port}`, { host, port });
  }

  removeMember(name: string): void {
    const key = `member/${name}`;
    const target = this.#targets.get(key);
    this.#targets.delete(key);
    void this.#links.get(name)?.close();
    void target?.lifecycle.close();
  }

  setIdleTimeout(name: string, ms: number): void {
    this.#links.get(name)?.allowSilence(ms);
  }

  send(name: string, message: PeerMessage): Result<void, PeerError> {
    const result = this.#trySend(name, message);
    if (result.isErr) this.#refuse(refusalOfError(result.error));
    return result;
  }

  handle<T extends PeerMessage['type']>(
    type: T,
    handler: PeerMessageHandler<Extract<PeerMessage, { type: T }>>,
  ): void {
    this.#handlers.set(type, handler as PeerMessageHandler);
  }

  onLink(listener: (member: MemberInfo, up: boolean) => void): void {
    this.#links.onLink(listener);
  }

  setPartition(memberOrZone: string, direction: PartitionDirection, on: boolean): void {
    this.#cuts.set(memberOrZone, direction, on);
  }

  #trySend(name: string, message: PeerMessage): Result<void, PeerError> {
    const link = this.#links.get(name);
    if (!link?.peer) {
      return Result.err(new PeerError(PeerErrorCode.NotConnected, `no link to ${name}`));
    }
    if (this.#cuts.has(link.peer, PartitionDirection.Outbound)) {
      this.#refuse(RefusalReason.Cut);
      return Result.ok(undefined);
    }
    const written = link.write(message);
    if (written.isOk) this.#counters.frames.inc({ direction: 'out', type: message.type });
    return written;
  }

  #addTarget(key: string, address: Omit<Target, 'lifecycle'>): void {
    const known = this.#targets.get(key);
    if (known) {
      Object.assign(known, address);
      return;
    }
    if (this.#lifecycle.isClosed) return;
    if (this.#targets.size >= this.#options.settings.maxMembers) {
      this.#refuse(RefusalReason.MemberLimit);
      return;
    }
    const target: Target = { ...address, lifecycle: this.#lifecycle.child(key) };
    this.#targets.set(key, target);
    const task = this.#keepLinked(target);
    target.lifecycle.own('task', () => task);
  }

  /** Task of one target: connects, reads until the link ends, and connects again. */
  async #keepLinked(target: Target): Promise<void> {
    const { clock, random, settings } = this.#options;
    const { signal } = target.lifecycle;
    let failures = 0;
    while (!target.lifecycle.isClosed) {
      const link = this.#linkOf(target);
      if (link) {
        await untilClosed(link, signal);
        failures = 0;
      } else {
        const wasUp = await this.#dial(target);
        failures = wasUp ? 0 : failures + 1;
      }
      const ceiling = Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** failures);
      await clock.sleep(random.next() * ceiling, signal);
    }
  }

  #linkOf({ member, host, port }: Target): Connection | undefined {
    return member ? this.#links.get(member.name) : this.#links.at(host, port);
  }

  /** Connects once and reads until the connection ends. Returns whether the link was up. */
  async #dial(target: Target): Promise<boolean> {
    if (target.member && this.#cuts.blocksConnecting(target.member)) return false;
    const release = await this.#dials.acquire();
    if (target.lifecycle.isClosed) {
      release();
      return false;
    }
    const attempt = target.lifecycle.child('connection');
    const connection = this.#connection(connect(target.port, target.host), attempt);
    let isUp = false;
    try {
      const handshake = dialHandshake(connection, {
        self: this.self,
        secret: this.#options.settings.secret,
        refusal: (member) => this.#refusalOf(member, this.self.name, target.member),
      });
      const member = await this.#withinHandshakeTime(connection, handshake).finally(release);
      this.#establish(connection, member, this.self.name);
      isUp = true;
      await this.#read(connection, member);
    } catch (err) {
      this.#noteEnd(err, isUp);
    } finally {
      this.#links.remove(connection);
      connection.destroy();
      await attempt.close();
    }
    return isUp;
  }

  #accept(socket: Socket): void {
    if (this.#lifecycle.isClosed || this.#inbound >= this.#options.settings.maxInbound) {
      this.#refuse(RefusalReason.InboundLimit);
      socket.destroy();
      return;
    }
    this.#inbound += 1;
    const lifecycle = this.#lifecycle.child('inbound');
    const connection = this.#connection(socket, lifecycle);
    // Closing waits for the task, which reads until the connection ends.
    lifecycle.signal.addEventListener('abort', () => void connection.close(), { once: true });
    const task = this.#serve(connection).finally(() => {
      this.#inbound -= 1;
      void lifecycle.close();
    });
    lifecycle.own('task', () => task);
  }

  /** Task of one inbound connection: handshake, then reads until the connection ends. */
  async #serve(connection: Connection): Promise<void> {
    let isUp = false;
    try {
      const handshake = acceptHandshake(connection, {
        self: this.self,
        secret: this.#options.settings.secret,
        refusal: (member) => this.#refusalOf(member, member.name),
      });
      const member = await this.#withinHandshakeTime(connection, handshake);
      this.#establish(connection, member, member.name);
      isUp = true;
      await this.#read(connection, member);
    } catch (err) {
      this.#noteEnd(err, isUp);
    } finally {
      this.#links.remove(connection);
      connection.destroy();
    }
  }

  #connection(socket: Socket, lifecycle: Lifecycle): Connection {
    const { bytes } = this.#counters;
    const connection = new Connection(socket, this.#options.clock, this.#options.settings, {
      onReceived: (size) => {
        bytes.inc({ direction: 'in' }, size);
      },
      onSent: (size) => {
        bytes.inc({ direction: 'out' }, size);
      },
    });
    lifecycle.own('socket', () => connection.close());
    return connection;
  }

  async #withinHandshakeTime<T>(connection: Connection, handshake: Promise<T>): Promise<T> {
    const timer = this.#options.clock.setTimer(this.#options.settings.handshakeTimeoutMs, () => {
      connection.destroy();
    });
    try {
      return await handshake;
    } finally {
      timer.cancel();
    }
  }

  #refusalOf(member: MemberInfo, dialer: string, expected?: MemberInfo): RefusalReason | undefined {
    const reason = this.#findRefusal(member, dialer, expected);
    if (reason) this.#refuse(reason);
    return reason;
  }

  #findRefusal(
    member: MemberInfo,
    dialer: string,
    expected?: MemberInfo,
  ): RefusalReason | undefined {
    if (expected && expected.name !== member.name) return RefusalReason.WrongMember;
    if (this.#cuts.blocksConnecting(member)) return RefusalReason.Cut;
    return this.#links.refusalOf(member, dialer);
  }

  #establish(connection: Connection, member: MemberInfo, dialer: string): void {
    // Another connection may have become the link while the handshake's last message was read.
    const reason = this.#links.refusalOf(member, dialer);
    if (reason) {
      this.#refuse(reason);
      throw new PeerError(PeerErrorCode.NotConnected, `link to ${member.name}: ${reason}`);
    }
    connection.establish(member, dialer);
    this.#links.install(connection, member);
    this.#options.logger.debug({ event: 'peer_link_up', member: member.name, zone: member.zone });
  }

  async #read(connection: Connection, member: MemberInfo): Promise<never> {
    while (true) {
      const message = await connection.receive();
      if (this.#cuts.has(member, PartitionDirection.Inbound)) {
        this.#refuse(RefusalReason.Cut);
        continue;
      }
      connection.noteLife();
      this.#dispatch(member, message);
    }
  }

  #dispatch(member: MemberInfo, message: unknown): void {
    const type = typeOf(message);
    const handler = this.#handlers.get(type);
    if (!handler) {
      this.#refuse(RefusalReason.UnknownType);
      return;
    }
    this.#counters.frames.inc({ direction: 'in', type });
    try {
      handler(member, message as PeerMessage);
    } catch (err) {
      this.#refuse(RefusalReason.HandlerFailed);
      const error = messageOf(err);
      this.#options.logger.warn({ event: 'peer_handler_failed', member: member.name, type, error });
    }
  }

  #noteEnd(err: unknown, wasUp: boolean): void {
    if (err instanceof PeerError && err.code === PeerErrorCode.BadFrame) {
      this.#refuse(RefusalReason.BadFrame);
    } else if (!wasUp) {
      this.#refuse(RefusalReason.Handshake);
    }
    this.#options.logger.debug({ event: 'peer_connection_ended', wasUp, error: messageOf(err) });
  }

  #refuse(reason: RefusalReason): void {
    this.#counters.refusals.inc({ reason });
  }
}

function createCounters(metrics: Metrics) {
  return {
    frames: metrics.counter('peer_frames_total', 'Frames of peer links', ['direction', 'type']),
    bytes: metrics.counter('peer_bytes_total', 'Bytes of peer frames', ['direction']),
    refusals: metrics.counter('peer_refusals_total', 'Refused connections and messages', [
      'reason',
    ]),
  };
}

function refusalOfError({ code }: PeerError): RefusalReason {
  if (code === PeerErrorCode.Overloaded) return RefusalReason.Overloaded;
  if (code === PeerErrorCode.TooLarge) return RefusalReason.TooLarge;
  return RefusalReason.NotConnected;
}

const messageTypes = new Set<unknown>(Object.values(PeerMessageType));

function typeOf(message: unknown): string {
  if (typeof message !== 'object' || message === null || !('type' in message)) return '';
  return messageTypes.has(message.type) ? (message.type as string) : '';
}

async function untilClosed(link: Connection, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return;
  let onAbort: () => void = () => undefined;
  const aborted = new Promise<void>((resolve) => (onAbort = resolve));
  signal.addEventListener('abort', onAbort, { once: true });
  await Promise.race([link.closed, aborted]);
  signal.removeEventListener('abort', onAbort);
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
