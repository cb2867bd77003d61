import { Result } from 'true-myth';
import type { Clock } from '../clock/index.js';
import { PeerError, PeerErrorCode, type PeerNetwork } from '../peers/index.js';
import type { Table } from '../platform/index.js';

/** Pauses, resumes and kills a simulated process by controlling when its callbacks run. */
export class ProcessGate {
  #paused = false;
  #killed = false;
  #pendingCallbacks: (() => void)[] = [];

  get isKilled(): boolean {
    return this.#killed;
  }

  /** Runs a callback now, or on resume if the process is paused; drops it after a kill. */
  run(callback: () => void): void {
    if (this.#killed) return;
    if (this.#paused) this.#pendingCallbacks.push(callback);
    else callback();
  }

  /** Awaits a value from outside the process; settles once the process is not paused. */
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
    const pendingCallbacks = this.#pendingCallbacks;
    this.#pendingCallbacks = [];
    for (const callback of pendingCallbacks) this.run(callback);
  }

  kill(): void {
    this.#killed = true;
    this.#pendingCallbacks = [];
  }
}

/** Wraps a clock for a gated process; timers that fall due during a pause fire on resume. */
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

/** Wraps the peer network of a gated process. */
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

/** Wraps the table of a gated process; answers that arrive during a pause are held back. */
export function gateTable(table: Table, gate: ProcessGate): Table {
  return {
    get: (key) => gate.receive(table.get(key)),
    scan: (prefix, limit, after) => gate.receive(table.scan(prefix, limit, after)),
    transact: (conditions, writes) => gate.receive(table.transact(conditions, writes)),
  };
}
