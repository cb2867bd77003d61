import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { JsonServer } from './http.mjs';

const MAX_WAITING = 32;
const MAX_WORKERS = 100;

/** The platform's advice service, which handles one call of a machine after the other. */
export class Advice {
  /** Called with each call and what became of it. */
  record = () => undefined;
  #server = new JsonServer((call) => this.#handle(call));
  #tickets = new Map();
  #last = Promise.resolve();
  #waiting = 0;

  #dropsAbandoned;

  /**
   * @param terms - `decideMs`, `intervalMs` and `validMs`, as in the configuration of the queue
   * @param dropsAbandoned - whether a call whose caller has closed its channel is left out; the pages say
   *   only that calls are handled in turn
   */
  constructor(terms, dropsAbandoned = false) {
    this.terms = terms;
    this.#dropsAbandoned = dropsAbandoned;
  }

  start() {
    return this.#server.listen('127.0.0.1');
  }

  stop() {
    return this.#server.close();
  }

  get address() {
    return this.#server.address;
  }

  /** Whether a ticket allows a step to start on an executor now. */
  isValid(ticket, step, executor) {
    const issued = this.#tickets.get(ticket);
    return (
      issued?.step === step && issued.executor === executor && performance.now() < issued.until
    );
  }

  async #handle({ path, body, isAbandoned }) {
    const { step, workers } = body;
    if (path !== '/api/advise' || !Array.isArray(workers) || workers.length > MAX_WORKERS)
      return { status: 400 };
    if (this.#waiting >= MAX_WAITING) {
      this.record({ event: 'advice_refused', step });
      return { status: 429 };
    }
    const arrivedAt = performance.now();
    this.#waiting++;
    const answer = this.#last.then(() => this.#decide(step, workers, isAbandoned));
    this.#last = answer;
    const good = await answer;
    const took_ms = Math.round(performance.now() - arrivedAt);
    this.record({ event: 'advice', step, workers: workers.length, took_ms });
    return { status: 200, body: { good, validMs: this.terms.validMs } };
  }

  async #decide(step, workers, isAbandoned) {
    this.#waiting--;
    if (this.#dropsAbandoned && isAbandoned()) return [];
    const { decideMs, intervalMs, validMs } = this.terms;
    await sleep(decideMs + intervalMs * workers.length);
    return workers.map((executor) => {
      const ticket = randomBytes(8).toString('hex');
      this.#tickets.set(ticket, { step, executor, until: performance.now() + validMs });
      return [executor, ticket];
    });
  }
}
