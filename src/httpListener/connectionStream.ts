import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { CallerConnection } from './callerConnection.js';

type Callback = (err?: Error | null) => void;

/**
 * The stream that the HTTP parser reads and writes in place of the socket of a connection, so that the
 * connection decides which bytes the parser gets and when.
 */
export class ConnectionStream extends Duplex {
  readonly connection: CallerConnection;
  readonly #socket: Socket;

  constructor(connection: CallerConnection, socket: Socket) {
    super({ allowHalfOpen: true, decodeStrings: false });
    this.connection = connection;
    this.#socket = socket;
  }

  get remoteAddress(): string | undefined {
    return this.#socket.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.#socket.remotePort;
  }

  override _read(): void {
    queueMicrotask(() => {
      this.connection.feedParser();
    });
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: Callback): void {
    this.#socket.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: Callback,
  ): void {
    this.#socket.cork();
    for (const [index, { chunk, encoding }] of chunks.entries())
      this.#socket.write(chunk, encoding, index === chunks.length - 1 ? callback : undefined);
    this.#socket.uncork();
  }

  override _final(callback: Callback): void {
    this.#socket.end(callback);
  }

  override _destroy(err: Error | null, callback: Callback): void {
    this.#socket.destroy();
    callback(err);
  }

  /** Called by the HTTP server after the last response of the connection. */
  destroySoon(): void {
    this.connection.closeAfterResponse();
  }
}

/** The connection on which a request of an `HttpListener` arrived. */
export function connectionOf(req: IncomingMessage): CallerConnection {
  return (req.socket as unknown as ConnectionStream).connection;
}
