import type { Queue } from '../batch/types.js';

/** A queue, and the part of the path behind its prefix. */
export interface QueueMatch {
  queue: Queue;
  rest: string;
}

interface HostQueues {
  byPrefix: Map<string, Queue>;
  /** Distinct lengths of the prefixes, longest first. */
  lengths: number[];
}

/**
 * Finds the queue of a request by host and path. A look-up costs as many steps as there are lengths
 * of prefixes on the host, so that a configuration with thousands of queues does not slow requests.
 */
export class QueueIndex {
  readonly #hosts = new Map<string, HostQueues>();

  /** Indexes queues; of several with the same host and prefix, the first one counts. */
  constructor(queues: Iterable<Queue>) {
    for (const queue of queues) {
      let host = this.#hosts.get(queue.host);
      if (!host) this.#hosts.set(queue.host, (host = { byPrefix: new Map(), lengths: [] }));
      if (!host.byPrefix.has(queue.pathPrefix)) host.byPrefix.set(queue.pathPrefix, queue);
    }
    for (const host of this.#hosts.values()) {
      const lengths = new Set([...host.byPrefix.keys()].map(({ length }) => length));
      host.lengths = [...lengths].sort((a, b) => b - a);
    }
  }

  /** Returns the queue with the longest prefix of the path; undefined if there is none. */
  match(host: string, path: string): QueueMatch | undefined {
    const queues = this.#hosts.get(host);
    if (!queues) return undefined;
    for (const length of queues.lengths) {
      if (length > path.length) continue;
      const queue = queues.byPrefix.get(path.slice(0, length));
      if (queue) return { queue, rest: path.slice(length) };
    }
    return undefined;
  }
}
