import type { LoadEntry, ServiceLoad } from '../peers/index.js';

/** Bytes of an entry besides the name of the service: CBOR heads and three numbers. */
const ENTRY_OVERHEAD_BYTES = 18;

/** Bytes that the load of one service takes in a heartbeat, at most. */
export function loadEntryBytes(service: string): number {
  return Buffer.byteLength(service) + ENTRY_OVERHEAD_BYTES;
}

interface ReportedLoad {
  load: ServiceLoad;
  /** Number of the report that carried it last. */
  round: number;
}

/**
 * Chooses which services a heartbeat reports when not all of them fit: changed ones first, then
 * the others, in each case those that waited longest. A lost report is made up for by a later one.
 */
export class LoadReporter {
  readonly #reported = new Map<string, ReportedLoad>();
  #round = 0;

  /**
   * The entries of the next heartbeat.
   *
   * @param current - load of all services on this process
   * @param maxBytes - bytes for the entries
   */
  nextEntries(current: readonly ServiceLoad[], maxBytes: number): LoadEntry[] {
    this.#round += 1;
    const loads = new Map(current.map((load) => [load.service, load]));
    // A service without executors here is reported as such, since reports are merged.
    for (const service of this.#reported.keys()) {
      if (!loads.has(service)) {
        loads.set(service, { service, slots: 0, freeSlots: 0, queued: 0 });
      }
    }
    return this.#takeFitting(this.#prioritize([...loads.values()]), maxBytes).map((load) => {
      this.#reported.set(load.service, { load, round: this.#round });
      return toLoadEntry(load);
    });
  }

  #prioritize(loads: ServiceLoad[]): ServiceLoad[] {
    const ranked = loads.map((load) => {
      const last = this.#reported.get(load.service);
      const isChanged = !last || !isSame(last.load, load);
      return { load, isChanged, round: last?.round ?? 0 };
    });
    ranked.sort((a, b) => Number(b.isChanged) - Number(a.isChanged) || a.round - b.round);
    return ranked.map(({ load }) => load);
  }

  #takeFitting(loads: readonly ServiceLoad[], maxBytes: number): ServiceLoad[] {
    let remainingBytes = maxBytes;
    const end = loads.findIndex(({ service }) => (remainingBytes -= loadEntryBytes(service)) < 0);
    if (end < 0) return [...loads];
    return loads.slice(0, Math.max(1, end));
  }
}

/** Load of all services as entries. */
export function toLoadEntries(loads: readonly ServiceLoad[]): LoadEntry[] {
  return loads.map(toLoadEntry);
}

/** Merges reported entries into the load that is known; a service without slots is dropped. */
export function mergeLoad(
  known: readonly ServiceLoad[],
  entries: readonly LoadEntry[],
): readonly ServiceLoad[] {
  if (entries.length === 0) return known;
  const merged = new Map(known.map((load) => [load.service, load]));
  for (const [service, slots, freeSlots, queued] of entries) {
    if (slots === 0 && queued === 0) merged.delete(service);
    else merged.set(service, { service, slots, freeSlots, queued });
  }
  return [...merged.values()];
}

function toLoadEntry({ service, slots, freeSlots, queued }: ServiceLoad): LoadEntry {
  return [service, slots, freeSlots, queued];
}

function isSame(a: ServiceLoad, b: ServiceLoad): boolean {
  return a.slots === b.slots && a.freeSlots === b.freeSlots && a.queued === b.queued;
}
