const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/**
 * Finds blank lines in a sequence of buffers. Headers, and bodies in chunks, end with one, so that a
 * parser that gets the bytes only up to the next blank line never sees two requests at once.
 */
export class BlankLineScanner {
  /** Whether the present line has no characters so far. */
  #isLineEmpty = true;

  /** Returns the offset after the first blank line; the length of the buffer if there is none. */
  scan(buffer: Buffer): number {
    for (let offset = 0; offset < buffer.length; offset++) {
      const byte = buffer[offset];
      if (byte === LINE_FEED) {
        if (this.#isLineEmpty) return offset + 1;
        this.#isLineEmpty = true;
      } else if (byte !== CARRIAGE_RETURN) {
        this.#isLineEmpty = false;
      }
    }
    return buffer.length;
  }
}
