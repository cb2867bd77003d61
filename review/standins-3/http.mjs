import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { URL } from 'node:url';

/** Reads the JSON body of a request or response; undefined if it is empty or malformed. */
async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
}

/** An HTTP server on a loopback address whose handler returns `{ status, body, headers }`. */
export class JsonServer {
  #server;
  #sockets = new Set();

  constructor(handler) {
    this.#server = createServer({ keepAliveTimeout: 15_000 }, (req, res) => {
      void this.#answer(handler, req, res);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  async #answer(handler, req, res) {
    const body = (await readJson(req).catch(() => undefined)) ?? {};
    const url = new URL(req.url ?? '', 'http://standin');
    const call = { method: req.method, path: url.pathname, query: url.searchParams, body };
    const isAbandoned = () => res.destroyed || res.closed;
    const answer = await handler({ ...call, headers: req.headers, isAbandoned });
    // A handler that returns nothing leaves the request unanswered.
    if (!answer || res.destroyed) return;
    const text = answer.body === undefined ? '' : JSON.stringify(answer.body);
    res.writeHead(answer.status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      ...answer.headers,
    });
    res.end(text);
  }

  /** Listens on an address; port 0 selects a free one. */
  listen(host, port = 0) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.port = this.#server.address().port;
        this.address = `${host}:${this.port}`;
        resolve(this.address);
      });
    });
  }

  /** Stops listening and resets all connections, as the end of the process would. */
  close() {
    for (const socket of this.#sockets) socket.resetAndDestroy();
    return new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }
}

/** Sends a request; resolves to the status and body, or to undefined if there is no answer. */
export function send({ address, method, path, headers = {}, body, timeoutMs = 5_000 }) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  const all = { ...headers };
  if (text !== undefined) all['Content-Type'] = 'application/json';
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers: all, agent: false, timeout: timeoutMs };
    const req = request(options, (res) => {
      readJson(res).then(
        (answer) => {
          resolve({ status: res.statusCode, body: answer, headers: res.headers });
        },
        () => {
          resolve(undefined);
        },
      );
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve(undefined);
    });
    req.end(text);
  });
}
