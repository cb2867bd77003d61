import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';

/** Reads a body as JSON; undefined if there is none or it cannot be read. */
async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  try {
    return text === '' ? undefined : JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** An HTTP server on a loopback address that can be crashed and started again at its address. */
export class JsonServer {
  #answer;
  #server;
  #sockets = new Set();
  address;

  /** @param answer - gets method, URL, headers and body; returns status and body, or undefined to break off */
  constructor(answer) {
    this.#answer = answer;
  }

  async listen(host = '127.0.0.1', port = 0) {
    this.#server = createServer((req, res) => void this.#serve(req, res));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    return this.address;
  }

  async #serve(req, res) {
    const body = await readJson(req).catch(() => undefined);
    const url = new globalThis.URL(req.url, 'http://standin');
    const reply = await this.#answer({ method: req.method, url, headers: req.headers, body });
    if (res.destroyed) return;
    if (reply === undefined) {
      res.socket?.resetAndDestroy();
      return;
    }
    const text = reply.body === undefined ? '' : JSON.stringify(reply.body);
    res.writeHead(reply.status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  /** Closes the server at once and resets its connections, as the end of its process does. */
  crash() {
    this.#server?.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }
}

/**
 * Sends a request on a channel of its own.
 *
 * @returns status and body; status 0 if there was no complete answer
 */
export function send({ address, method, path, host, headers = {}, body, timeoutMs, signal }) {
  const [hostname, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  const allHeaders = { ...headers };
  if (host !== undefined) allHeaders.Host = host;
  if (text !== undefined) {
    allHeaders['Content-Type'] = 'application/json';
    allHeaders['Content-Length'] = Buffer.byteLength(text);
  }
  return new Promise((resolve) => {
    const options = { hostname, port, method, path, headers: allHeaders, agent: false };
    const req = request({ ...options, timeout: timeoutMs, signal }, (res) => {
      readJson(res).then(
        (reply) => resolve({ status: res.statusCode, body: reply }),
        () => resolve({ status: 0 }),
      );
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve({ status: 0 }));
    req.end(text);
  });
}
