import type { HeartbeatMessage, MemberInfo } from '../peers/index.js';
import { mergeLoad } from './loadReport.js';
import { MemberState, type Member } from './types.js';

/** Most incarnations remembered as gone; the oldest are forgotten first. */
export const MAX_RETIRED_INCARNATIONS = 1_024;

/** Heartbeat intervals of a member that may pass in silence before it is Suspect. */
const SUSPECT_INTERVALS = 3;

/** Heartbeat intervals of a member that may pass in silence before it is removed. */
const REMOVE_INTERVALS = 10;

/** A member with what is needed to judge its heartbeats. */
export interface MemberEntry extends Member {
  /** Sequence of the newest heartbeat. */
  sequence: number;
  /** Whether the member hears this process, by its own account. */
  hearsUs: boolean;
  /** Time in milliseconds between its heartbeats, as it announced. */
  heartbeatIntervalMs: number;
}

interface Candidate {
  info: MemberInfo;
  addedAt: number;
}

/** Times in milliseconds after which silence counts. */
export interface SilenceTimeouts {
  suspectAfterMs: number;
  removeAfterMs: number;
  forgetAfterMs: number;
}

/** Silence in milliseconds after which a member is Suspect. */
export function suspectTimeoutMs(
  { heartbeatIntervalMs }: MemberEntry,
  timeouts: SilenceTimeouts,
): number {
  return Math.max(timeouts.suspectAfterMs, heartbeatIntervalMs * SUSPECT_INTERVALS);
}

/** Silence in milliseconds after which a member is removed. */
export function removalTimeoutMs(
  { heartbeatIntervalMs }: MemberEntry,
  timeouts: SilenceTimeouts,
): number {
  return Math.max(timeouts.removeAfterMs, heartbeatIntervalMs * REMOVE_INTERVALS);
}

/** What a check for silent members found. */
export interface SweepResult {
  removed: MemberInfo[];
  forgotten: MemberInfo[];
}

/** Members, candidates that are only known by name and address, and incarnations that are gone. */
export class MemberTable {
  readonly #entries = new Map<string, MemberEntry>();
  readonly #candidates = new Map<string, Candidate>();
  readonly #retiredIncarnations = new Set<string>();
  readonly #maxMembers: number;
  #revision = 0;

  constructor(maxMembers: number) {
    this.#maxMembers = maxMembers;
  }

  /** Grows with each change of the members or of their states. */
  get revision(): number {
    return this.#revision;
  }

  get(name: string): MemberEntry | undefined {
    return this.#entries.get(name);
  }

  entries(): MemberEntry[] {
    return [...this.#entries.values()];
  }

  /** Whether an incarnation left or was replaced. */
  isRetired(incarnation: string): boolean {
    return this.#retiredIncarnations.has(incarnation);
  }

  /**
   * Records a sign of life.
   *
   * @returns the entry, or undefined when the incarnation is gone or the table is full
   */
  recordContact(info: MemberInfo, now: number): MemberEntry | undefined {
    if (this.#retiredIncarnations.has(info.incarnation)) return undefined;
    const known = this.#entries.get(info.name);
    if (known?.info.incarnation === info.incarnation) {
      known.lastHeardAt = now;
      return known;
    }
    if (known) this.retire(info.name);
    if (!this.#candidates.delete(info.name) && this.#isFull()) return undefined;
    const entry: MemberEntry = {
      info,
      state: MemberState.Alive,
      lastHeardAt: now,
      configVersion: 0,
      load: [],
      draining: [],
      sequence: -1,
      hearsUs: true,
      heartbeatIntervalMs: 0,
    };
    this.#entries.set(info.name, entry);
    this.#revision += 1;
    return entry;
  }

  /** Takes over a heartbeat. Returns false when it is older than one taken over before. */
  applyHeartbeat(entry: MemberEntry, message: HeartbeatMessage): boolean {
    if (message.sequence <= entry.sequence) return false;
    entry.sequence = message.sequence;
    entry.configVersion = message.configVersion;
    entry.heartbeatIntervalMs = message.everyMs ?? 0;
    entry.load = mergeLoad(entry.load, message.load);
    entry.draining = message.draining ?? [];
    entry.hearsUs = message.hears !== false;
    if (entry.hearsUs) this.#setState(entry, MemberState.Alive);
    return true;
  }

  /** Other members that listened at the address of a new one; an address has one listener. */
  othersAtAddressOf({ name, host, port }: MemberInfo): MemberInfo[] {
    if (port === 0) return [];
    return this.entries()
      .map(({ info }) => info)
      .filter((info) => info.name !== name && info.host === host && info.port === port);
  }

  /** Records a member that others know. Returns whether it is new and should be contacted. */
  addCandidate(info: MemberInfo, now: number): boolean {
    if (this.#retiredIncarnations.has(info.incarnation) || this.#entries.has(info.name))
      return false;
    const known = this.#candidates.get(info.name);
    if (!known && this.#isFull()) return false;
    this.#candidates.set(info.name, { info, addedAt: now });
    return known?.info.incarnation !== info.incarnation;
  }

  /** Removes a member whose incarnation will not come back. */
  retire(name: string): void {
    const entry = this.#entries.get(name);
    this.#candidates.delete(name);
    if (!entry) return;
    this.#entries.delete(name);
    this.#revision += 1;
    this.#retiredIncarnations.add(entry.info.incarnation);
    const [oldest] = this.#retiredIncarnations;
    if (this.#retiredIncarnations.size > MAX_RETIRED_INCARNATIONS && oldest !== undefined)
      this.#retiredIncarnations.delete(oldest);
  }

  /** Gives every member a fresh period of silence. */
  resetSilence(now: number): void {
    for (const entry of this.#entries.values()) {
      entry.lastHeardAt = now;
      entry.hearsUs = true;
    }
  }

  /** Suspects and removes silent members. A removed member stays a candidate for a while. */
  sweep(now: number, timeouts: SilenceTimeouts): SweepResult {
    const result: SweepResult = { removed: [], forgotten: [] };
    for (const [name, { info, addedAt }] of this.#candidates) {
      if (now - addedAt < timeouts.forgetAfterMs) continue;
      this.#candidates.delete(name);
      result.forgotten.push(info);
    }
    for (const [name, entry] of this.#entries) {
      const silence = now - entry.lastHeardAt;
      if (silence >= removalTimeoutMs(entry, timeouts)) {
        this.#entries.delete(name);
        this.#revision += 1;
        this.#candidates.set(name, { info: entry.info, addedAt: now });
        result.removed.push(entry.info);
        continue;
      }
      const isAlive = entry.hearsUs && silence < suspectTimeoutMs(entry, timeouts);
      this.#setState(entry, isAlive ? MemberState.Alive : MemberState.Suspect);
    }
    return result;
  }

  #setState(entry: MemberEntry, state: MemberState): void {
    if (entry.state === state) return;
    entry.state = state;
    this.#revision += 1;
  }

  #isFull(): boolean {
    return this.#entries.size + this.#candidates.size >= this.#maxMembers;
  }
}
