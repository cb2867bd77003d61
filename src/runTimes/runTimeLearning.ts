import type { Journal } from '../batch/journal.js';
import type { RowStore } from '../batch/ports.js';
import { RunTimes } from './runTimes.js';
import { SnapshotKeeper, type SnapshotKeeperDeps } from './snapshotKeeper.js';
import { createSnapshotRow } from './snapshotRow.js';
import { declaredMs, type PredictMs } from './types.js';

/** Dependencies of {@link RunTimeLearning}. */
export interface RunTimeLearningDeps extends Pick<
  SnapshotKeeperDeps,
  'service' | 'clock' | 'log' | 'counters'
> {
  store: Pick<RowStore, 'readRow'> & { limits: { rowBytes: number } };
  journal: Pick<Journal, 'append'>;
  /** Whether learned run times are used; if not, the declared ones are. */
  isEnabled: boolean;
}

/** Run times of the tasks of one service, passed from one holder to the next by a snapshot. */
export class RunTimeLearning {
  readonly runTimes = new RunTimes();
  readonly predictMs: PredictMs;
  readonly #isEnabled: boolean;
  readonly #snapshot: SnapshotKeeper;

  constructor(deps: RunTimeLearningDeps) {
    const { service, store, journal, isEnabled } = deps;
    const { runTimes } = this;
    this.#isEnabled = isEnabled;
    this.predictMs = isEnabled ? (step, queue) => runTimes.predictMs(step, queue) : declaredMs;
    const { rowBytes } = store.limits;
    const row = createSnapshotRow(service, store, journal);
    this.#snapshot = new SnapshotKeeper({ ...deps, runTimes, rowBytes, ...row });
  }

  /** Reads the snapshot of the earlier holder; learning goes on meanwhile. */
  async load(signal: AbortSignal): Promise<void> {
    if (this.#isEnabled) await this.#snapshot.load(signal);
  }

  /** Writes a snapshot if enough was learned since the last; to be called regularly. */
  update(): void {
    if (this.#isEnabled) this.#snapshot.update();
  }
}
