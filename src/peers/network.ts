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
import { PartitionDirection, SimulatedPartitions } from './simulatedPartitions.js';
import type { PeersSettings } from './defaults.js';
import { Semaphore } from './semaphore.js';
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

/** Minimum length of the shared secret in characters. */
const MIN_SECRET_LENGTH = 16;

/** Options of {@link createPeerNetwork}. */
export interface PeerNetworkOptions {
  /** Identity of this process; host and port are replaced by the advertised host and bound port. */
  self: MemberInfo;
  settings: PeersSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
}

/** Peer links over TCP, with fault injection for tests. */
export interface TcpPeerNetwork extends PeerNetwork {
  addSeed(host: string, port: number): void;
  /** Simulates a partition: drops messages of a member or zone and blocks new connections. */
  setPartition(memberOrZone: string, direction: PartitionDirection, on: boolean): void;
}

/** Address that a background task keeps a link to. */
interface Target {
  lifecycle: Lifecycle;
  host: string;
  port: number;
  /** Expected member; undefined for a seed address, whose member is learned in the handshake. */
  member?: MemberInfo;
}

/**
 * Opens the peer listener and maintains links to the members and seed addresses that are added.
 *
 * @param lifecycle - closes the listener and all links
 * @returns the network, or a PeerError with code WeakSecret or ListenFailed
 */
export async function createPeerNetwork(
  options: PeerNetworkOptions,
  lifecycle: Lifecycle,
): Promise<Result<TcpPeerNetwork, PeerError>> {
  const { settings } = options;
  if (settings.secret.length < MIN_SECRET_LENGTH) {
    const text = `peer secret has ${settings.secret.length} characters, expected at least ${MIN_SECRET_LENGTH}`;
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
  readonly #partitions = new SimulatedPartitions();
  readonly #dialSemaphore: Semaphore;
  readonly #targets = new Map<string, Target>();
  readonly #handlers = new Map<string, PeerMessageHandler>();
  readonly #counters: ReturnType<typeof createCounters>;
  #inboundCount = 0;

  constructor(options: PeerNetworkOptions, lifecycle: Lifecycle, server: Server) {
    this.self = options.self;
    this.#options = options;
    this.#lifecycle = lifecycle;
    this.#counters = createCounters(options.metrics);
    this.#links = new Links(options.self, options.clock, options.settings.handshakeTimeoutMs);
    this.#dialSemaphore = new Semaphore(options.settings.maxDials);
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

  setIdleTimeout(name: string, timeoutMs: number): void {
    this.#links.get(name)?.setIdleTimeout(timeoutMs);
  }

  send(name: string, message: PeerMessage): Result<void, PeerError> {
    const result = this.#trySend(name, message);
    if (result.isErr) this.#countRefusal(refusalReasonForError(result.error));
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
    this.#partitions.set(memberOrZone, direction, on);
  }

  #trySend(name: string, message: PeerMessage): Result<void, PeerError> {
    const link = this.#links.get(name);
    if (!link?.peer) {
      return Result.err(new PeerError(PeerErrorCode.NotConnected, `no link to ${name}`));
    }
    if (this.#partitions.dropsMessages(link.peer, PartitionDirection.Outbound)) {
      this.#countRefusal(RefusalReason.Partitioned);
      return Result.ok(undefined);
    }
    const written = link.write(message);
    if (written.isOk) this.#counters.frames.inc({ direction: 'out', type: message.type });
    return written;
  }

  #addTarget(key: string, address: Omit<Target, 'lifecycle'>): void {
    const existing = this.#targets.get(key);
    if (existing) {
      Object.assign(existing, address);
      return;
    }
    if (this.#lifecycle.isClosed) return;
    if (this.#targets.size >= this.#options.settings.maxMembers) {
      this.#countRefusal(RefusalReason.MemberLimit);
      return;
    }
    const target: Target = { ...address, lifecycle: this.#lifecycle.child(key) };
    this.#targets.set(key, target);
    const task = this.#maintainLink(target);
    target.lifecycle.own('task', () => task);
  }

  /** Task of one target: connects, waits until the link is closed, and reconnects with backoff. */
  async #maintainLink(target: Target): Promise<void> {
    const { clock, random, settings } = this.#options;
    const { signal } = target.lifecycle;
    let failures = 0;
    while (!target.lifecycle.isClosed) {
      const link = this.#findLink(target);
      if (link) {
        await waitUntilClosed(link, signal);
        failures = 0;
      } else {
        const wasUp = await this.#dial(target);
        failures = wasUp ? 0 : failures + 1;
      }
      const ceiling = Math.min(settings.backoffMaxMs, settings.backoffBaseMs * 2 ** failures);
      await clock.sleep(random.next() * ceiling, signal);
    }
  }

  #findLink({ member, host, port }: Target): Connection | undefined {
    return member ? this.#links.get(member.name) : this.#links.findByAddress(host, port);
  }

  /** Dials once and reads until the connection is closed. Returns whether the link was up. */
  async #dial(target: Target): Promise<boolean> {
    if (target.member && this.#partitions.blocksConnecting(target.member)) return false;
    const release = await this.#dialSemaphore.acquire();
    if (target.lifecycle.isClosed) {
      release();
      return false;
    }
    const attempt = target.lifecycle.child('connection');
    const connection = this.#createConnection(connect(target.port, target.host), attempt);
    let isUp = false;
    try {
      const handshake = dialHandshake(connection, {
        self: this.self,
        secret: this.#options.settings.secret,
        refusalReasonFor: (member) => this.#checkMember(member, this.self.name, target.member),
      });
      const member = await this.#withHandshakeTimeout(connection, handshake).finally(release);
      this.#establish(connection, member, this.self.name);
      isUp = true;
      await this.#read(connection, member);
    } catch (err) {
      this.#recordConnectionEnd(err, isUp);
    } finally {
      this.#links.remove(connection);
      connection.destroy();
      await attempt.close();
    }
    return isUp;
  }

  #accept(socket: Socket): void {
    if (this.#lifecycle.isClosed || this.#inboundCount >= this.#options.settings.maxInbound) {
      this.#countRefusal(RefusalReason.InboundLimit);
      socket.destroy();
      return;
    }
    this.#inboundCount += 1;
    const lifecycle = this.#lifecycle.child('inbound');
    const connection = this.#createConnection(socket, lifecycle);
    // Closing the lifecycle waits for the task, which reads until the connection is closed.
    lifecycle.signal.addEventListener('abort', () => void connection.close(), { once: true });
    const task = this.#serve(connection).finally(() => {
      this.#inboundCount -= 1;
      void lifecycle.close();
    });
    lifecycle.own('task', () => task);
  }

  /** Task of one inbound connection: performs the handshake, then reads until it is closed. */
  async #serve(connection: Connection): Promise<void> {
    let isUp = false;
    try {
      const handshake = acceptHandshake(connection, {
        self: this.self,
        secret: this.#options.settings.secret,
        refusalReasonFor: (member) => this.#checkMember(member, member.name),
      });
      const member = await this.#withHandshakeTimeout(connection, handshake);
      this.#establish(connection, member, member.name);
      isUp = true;
      await this.#read(connection, member);
    } catch (err) {
      this.#recordConnectionEnd(err, isUp);
    } finally {
      this.#links.remove(connection);
      connection.destroy();
    }
  }

  #createConnection(socket: Socket, lifecycle: Lifecycle): Connection {
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

  async #withHandshakeTimeout<T>(connection: Connection, handshake: Promise<T>): Promise<T> {
    const timer = this.#options.clock.setTimer(this.#options.settings.handshakeTimeoutMs, () => {
      connection.destroy();
    });
    try {
      return await handshake;
    } finally {
      timer.cancel();
    }
  }

  #checkMember(
    member: MemberInfo,
    dialer: string,
    expected?: MemberInfo,
  ): RefusalReason | undefined {
    const reason = this.#refusalReasonFor(member, dialer, expected);
    if (reason) this.#countRefusal(reason);
    return reason;
  }

  #refusalReasonFor(
    member: MemberInfo,
    dialer: string,
    expected?: MemberInfo,
  ): RefusalReason | undefined {
    if (expected && expected.name !== member.name) return RefusalReason.WrongMember;
    if (this.#partitions.blocksConnecting(member)) return RefusalReason.Partitioned;
    return this.#links.refusalReasonFor(member, dialer);
  }

  #establish(connection: Connection, member: MemberInfo, dialer: string): void {
    // Another connection may have become the link since the check during the handshake.
    const reason = this.#links.refusalReasonFor(member, dialer);
    if (reason) {
      this.#countRefusal(reason);
      throw new PeerError(PeerErrorCode.NotConnected, `link to ${member.name} refused: ${reason}`);
    }
    connection.establish(member, dialer);
    this.#links.install(connection, member);
    this.#options.logger.debug({ event: 'peer_link_up', member: member.name, zone: member.zone });
  }

  async #read(connection: Connection, member: MemberInfo): Promise<never> {
    while (true) {
      const message = await connection.receive();
      if (this.#partitions.dropsMessages(member, PartitionDirection.Inbound)) {
        this.#countRefusal(RefusalReason.Partitioned);
        continue;
      }
      connection.recordActivity();
      this.#dispatch(member, message);
    }
  }

  #dispatch(member: MemberInfo, message: unknown): void {
    const type = messageTypeOf(message);
    const handler = this.#handlers.get(type);
    if (!handler) {
      this.#countRefusal(RefusalReason.UnknownType);
      return;
    }
    this.#counters.frames.inc({ direction: 'in', type });
    try {
      handler(member, message as PeerMessage);
    } catch (err) {
      this.#countRefusal(RefusalReason.HandlerFailed);
      const error = messageOf(err);
      this.#options.logger.warn({ event: 'peer_handler_failed', member: member.name, type, error });
    }
  }

  #recordConnectionEnd(err: unknown, wasUp: boolean): void {
    if (err instanceof PeerError && err.code === PeerErrorCode.BadFrame) {
      this.#countRefusal(RefusalReason.BadFrame);
    } else if (!wasUp) {
      this.#countRefusal(RefusalReason.Handshake);
    }
    this.#options.logger.debug({ event: 'peer_connection_ended', wasUp, error: messageOf(err) });
  }

  #countRefusal(reason: RefusalReason): void {
    this.#counters.refusals.inc({ reason });
  }
}

function createCounters(metrics: Metrics) {
  return {
    frames: metrics.counter('peer_frames_total', 'Frames sent and received on peer links', [
      'direction',
      'type',
    ]),
    bytes: metrics.counter('peer_bytes_total', 'Bytes sent and received on peer links', [
      'direction',
    ]),
    refusals: metrics.counter('peer_refusals_total', 'Refused connections and messages', [
      'reason',
    ]),
  };
}

function refusalReasonForError({ code }: PeerError): RefusalReason {
  if (code === PeerErrorCode.Overloaded) return RefusalReason.Overloaded;
  if (code === PeerErrorCode.TooLarge) return RefusalReason.TooLarge;
  return RefusalReason.NotConnected;
}

const messageTypes = new Set<unknown>(Object.values(PeerMessageType));

function messageTypeOf(message: unknown): string {
  if (typeof message !== 'object' || message === null || !('type' in message)) return '';
  return messageTypes.has(message.type) ? (message.type as string) : '';
}

async function waitUntilClosed(link: Connection, signal: AbortSignal): Promise<void> {
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
