import { JsonServer } from './http.mjs';

/** The platform's service for machines, as PROTOCOL.md describes it. */
export class Cloud {
  /** Machines by name: pool, state, zone, labels, capacity and the executor that runs there. */
  machines = new Map();
  /** Whether calls get no answer and are not carried out, as while the service is down. */
  isSilent = false;
  /** Called with each order; must carry it out and return the answer. */
  handleOrder = () => ({ status: 400 });
  #server = new JsonServer((call) => this.#answer(call));
  #held = [];

  open() {
    return this.#server.listen();
  }

  close() {
    for (const release of this.#held) release();
    this.#server.crash();
  }

  async #answer({ url, headers, body = {} }) {
    if (this.isSilent) {
      await new Promise((resolve) => this.#held.push(resolve));
      return undefined;
    }
    if (url.pathname === '/api/machines') {
      const machines = [...this.machines].map(([machine, { executor, ...fields }]) => {
        return { machine, ...fields, id: executor?.isUp ? executor.id : '' };
      });
      return { status: 200, body: { machines, nextToken: '' } };
    }
    const holder = headers['x-duty-holder'];
    const token = Number(headers['x-fencing-token']);
    if (url.pathname === '/api/machine-upkeep' || url.pathname === '/api/machine-move')
      return this.handleOrder({ kind: url.pathname.slice(13), ...body, holder, token });
    return { status: 404 };
  }
}
