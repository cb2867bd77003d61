import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Collects what was sent, answered and run, and writes it to a file. */
export class Record {
  #file;
  #startedAt = performance.now();
  #lines = [];

  constructor(file) {
    this.#file = file;
  }

  /** Seconds since the record was created. */
  get seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  add(text) {
    this.#lines.push(`${this.seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
