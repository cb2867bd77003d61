import type { LoadEntry, ServiceLoad } from '../peers/index.js';

/** Size of an entry without the service name: CBOR item heads and three numbers. */
const ENTRY_OVERHEAD_BYTES = 18;

/** Maximum size of the load of one service in a heartbeat. */
export function loadEntryBytes(service: string): number {
  return Buffer.byteLength(service) + ENTRY_OVERHEAD_BYTES;
}

interface ReportedLoad {
  load: ServiceLoad;
  /** Sequence number of the last report that contained the service. */
  round: number;
}

/**
 * Selects the services to report in a heartbeat when not all of them fit: first those whose load
 * changed, then the others, in both cases the least recently reported first. A later report
 * replaces a lost one.
 */
export class LoadReporter {
  readonly #reported = new Map<string, ReportedLoad>();
  #round = 0;

  /**
   * Selects the entries of the next heartbeat.
   *
   * @param current - load of all services in this process
   * @param maxBytes - maximum size of the entries; at least one entry is returned in any case
   */
  nextEntries(current: readonly ServiceLoad[], maxBytes: number): LoadEntry[] {
    this.#round += 1;
    const loads = new Map(current.map((load) => [load.service, load]));
    // Receivers merge reports, so services without executors here must be reported with zero load.
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

/** Converts loads to heartbeat entries. */
export function toLoadEntries(loads: readonly ServiceLoad[]): LoadEntry[] {
  return loads.map(toLoadEntry);
}

/** Merges reported entries into the known load; drops services with no slots and no requests. */
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
