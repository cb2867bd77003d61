import { EntryOutcome, type Journal } from '../batch/journal.js';
import type { RowStore } from '../batch/ports.js';
import type { OpinionLinkDeps } from './opinionLink.js';

/** Reads the opinion on the workers of a service, and writes it with the journal of the holder. */
export function createOpinionRows(
  service: string,
  store: Pick<RowStore, 'readPart'>,
  journal: Pick<Journal, 'append'>,
): Pick<OpinionLinkDeps, 'read' | 'write'> {
  return {
    read: (table) => store.readPart(table, service),
    write: (rows, settle) => {
      journal.append({
        ...rows,
        conditions: [],
        settle: (outcome) => {
          settle(outcome === EntryOutcome.Applied);
        },
      });
    },
  };
}
