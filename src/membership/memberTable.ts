import type { HeartbeatMessage, MemberInfo } from '../peers/index.js';
import { mergeLoad } from './loadReport.js';
import { MemberState, type Member } from './types.js';

/** Maximum number of retired incarnations kept; the oldest are evicted first. */
export const MAX_RETIRED = 1_024;

/** Number of missed heartbeat intervals after which a member becomes Suspect. */
const SUSPECT_INTERVALS = 3;

/** Number of missed heartbeat intervals after which a member is removed. */
const REMOVE_INTERVALS = 10;

/** A member with the state of its heartbeats. */
export interface MemberEntry extends Member {
  /** Sequence number of the newest heartbeat. */
  sequence: number;
  /** Whether the member reports that it hears this process; assumed after a pause of the latter. */
  hearsUs: boolean;
  /** Interval between its heartbeats as announced by the member; 0 if not announced. */
  heartbeatIntervalMs: number;
}

/** A member to contact that has not been heard yet, or was removed because it was silent. */
interface Candidate {
  info: MemberInfo;
  addedAt: number;
}

/** Durations of silence after which a member changes state. */
export interface SilenceTimeouts {
  suspectAfterMs: number;
  removeAfterMs: number;
  forgetAfterMs: number;
}

/** Duration of silence after which a member becomes Suspect. */
export function suspectTimeoutMs(
  { heartbeatIntervalMs }: MemberEntry,
  timeouts: SilenceTimeouts,
): number {
  return Math.max(timeouts.suspectAfterMs, heartbeatIntervalMs * SUSPECT_INTERVALS);
}

/** Duration of silence after which a member is removed. */
export function removalTimeoutMs(
  { heartbeatIntervalMs }: MemberEntry,
  timeouts: SilenceTimeouts,
): number {
  return Math.max(timeouts.removeAfterMs, heartbeatIntervalMs * REMOVE_INTERVALS);
}

/** Result of a check for silent members. */
export interface SweepResult {
  removed: MemberInfo[];
  /** Candidates that are no longer contacted. */
  forgotten: MemberInfo[];
}

/**
 * Table of members, of candidates, which are only known by name and address, and of retired
 * incarnations, which are not accepted again.
 */
export class MemberTable {
  readonly #entries = new Map<string, MemberEntry>();
  readonly #candidates = new Map<string, Candidate>();
  readonly #retired = new Set<string>();
  readonly #maxMembers: number;
  #revision = 0;

  constructor(maxMembers: number) {
    this.#maxMembers = maxMembers;
  }

  /** Incremented with each change of the members or of their states. */
  get revision(): number {
    return this.#revision;
  }

  get(name: string): MemberEntry | undefined {
    return this.#entries.get(name);
  }

  entries(): MemberEntry[] {
    return [...this.#entries.values()];
  }

  /** Whether an incarnation has left or was replaced. */
  isRetired(incarnation: string): boolean {
    return this.#retired.has(incarnation);
  }

  /**
   * Records that a member was heard, and adds it if it is new.
   *
   * @returns the entry, or undefined if the incarnation is retired or the table is full
   */
  recordContact(info: MemberInfo, now: number): MemberEntry | undefined {
    if (this.#retired.has(info.incarnation)) return undefined;
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

  /** Applies a heartbeat. Returns false if it is not newer than the last one applied. */
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

  /** Members with the address of a new member; an address has one listener, so it replaced them. */
  othersAtAddressOf({ name, host, port }: MemberInfo): MemberInfo[] {
    if (port === 0) return [];
    return this.entries()
      .map(({ info }) => info)
      .filter((info) => info.name !== name && info.host === host && info.port === port);
  }

  /** Records a member that others know. Returns whether it is new and should be contacted. */
  addCandidate(info: MemberInfo, now: number): boolean {
    if (this.#retired.has(info.incarnation) || this.#entries.has(info.name)) return false;
    const known = this.#candidates.get(info.name);
    if (!known && this.#isFull()) return false;
    this.#candidates.set(info.name, { info, addedAt: now });
    return known?.info.incarnation !== info.incarnation;
  }

  /** Removes a member and retires its incarnation, which will not come back. */
  retire(name: string): void {
    const entry = this.#entries.get(name);
    this.#candidates.delete(name);
    if (!entry) return;
    this.#entries.delete(name);
    this.#revision += 1;
    this.#retired.add(entry.info.incarnation);
    const [oldest] = this.#retired;
    if (this.#retired.size > MAX_RETIRED && oldest !== undefined) this.#retired.delete(oldest);
  }

  /** Restarts the silence period of every member and assumes that each hears this process. */
  resetSilence(now: number): void {
    for (const entry of this.#entries.values()) {
      entry.lastHeardAt = now;
      entry.hearsUs = true;
    }
  }

  /** Suspects or removes silent members. Removed members are candidates for `forgetAfterMs`. */
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
