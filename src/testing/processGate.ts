import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { PeerError, PeerErrorCode, type PeerNetwork } from '../peers/index.js';
import type { Table } from '../platform/index.js';

/** Stops and resumes everything that happens inside one simulated process. */
export class ProcessGate {
  #paused = false;
  #killed = false;
  #waiting: (() => void)[] = [];

  get isKilled(): boolean {
    return this.#killed;
  }

  /** Runs a callback of the process now, or on resume; never after the process was killed. */
  run(callback: () => void): void {
    if (this.#killed) return;
    if (this.#paused) this.#waiting.push(callback);
    else callback();
  }

  /** Passes on a value from outside the process once the process can take it. */
  async receive<T>(value: T | Promise<T>): Promise<T> {
    const received = await value;
    await new Promise<void>((resolve) => {
      this.run(resolve);
    });
    return received;
  }

  pause(): void {
    this.#paused = true;
  }

  resume(): void {
    this.#paused = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const callback of waiting) this.run(callback);
  }

  kill(): void {
    this.#killed = true;
    this.#waiting = [];
  }
}

/** The clock of a gated process: timers that fall due during a pause fire on resume. */
export function gateClock(clock: Clock, gate: ProcessGate): Clock {
  const setTimer: Clock['setTimer'] = (delayMs, callback) => {
    let cancelled = false;
    const timer = clock.setTimer(delayMs, () => {
      gate.run(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  };
  const sleep: Clock['sleep'] = (delayMs, signal) => gate.receive(clock.sleep(delayMs, signal));
  return { now: () => clock.now(), wallTime: () => clock.wallTime(), setTimer, sleep };
}

/** The peer network of a gated process. */
export function gatePeers(peers: PeerNetwork, gate: ProcessGate): PeerNetwork {
  return {
    ...peers,
    send: (name, message) =>
      gate.isKilled
        ? Result.err(new PeerError(PeerErrorCode.NotConnected, 'the process was killed'))
        : peers.send(name, message),
    handle: (type, handler) => {
      peers.handle(type, (from, message) => {
        gate.run(() => {
          handler(from, message);
        });
      });
    },
    onLink: (listener) => {
      peers.onLink((member, up) => {
        gate.run(() => {
          listener(member, up);
        });
      });
    },
  };
}

/** The table as a gated process sees it. */
export function gateTable(table: Table, gate: ProcessGate): Table {
  return {
    get: (key) => gate.receive(table.get(key)),
    scan: (prefix, limit, after) => gate.receive(table.scan(prefix, limit, after)),
    transact: (conditions, writes) => gate.receive(table.transact(conditions, writes)),
  };
}
