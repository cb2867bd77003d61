import type { Clock } from '../clock/index.js';

/** Values of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Destination of log lines. `write` returns false while it cannot take more without waiting. */
export interface LogSink {
  write(text: string): boolean;
}

/** Lines a second that are written on average, and at once. Bounds the volume under load. */
const LINES_PER_SECOND = 200;
const BURST_LINES = 400;
/** Lines that are kept for decisions on whole jobs and on dependencies. */
const RESERVED_LINES = 150;

/** How severe an event is. */
enum Severity {
  Info = 'info',
  Warn = 'warn',
}

/**
 * Writes one line of key=value pairs for each decision. It never waits: lines above the rate, and
 * lines that the sink cannot take, are left out and counted in the next line that is written.
 */
export class DecisionLog {
  readonly #sink: LogSink;
  readonly #clock: Clock;
  #tokens = BURST_LINES;
  #refilledAt: number;
  #leftOut = 0;
  #isSinkFull = false;

  constructor(sink: LogSink, clock: Clock) {
    this.#sink = sink;
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Lines left out since the start that no written line has told of. */
  get leftOut(): number {
    return this.#leftOut;
  }

  info(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields);
  }

  /** A decision on one task. Under load these lines are left out first. */
  detail(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields, RESERVED_LINES);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Warn, event, fields);
  }

  /** Tells that the sink takes lines again. */
  handleSinkDrain(): void {
    this.#isSinkFull = false;
  }

  #write(severity: Severity, event: string, fields: LogFields, reserved = 0): void {
    if (this.#isSinkFull || !this.#takeToken(reserved)) {
      this.#leftOut++;
      return;
    }
    const all = { ...fields, left_out: this.#leftOut > 0 ? this.#leftOut : undefined };
    this.#leftOut = 0;
    const time = new Date(this.#clock.wallTime()).toISOString();
    let line = `time=${time} level=${severity} event=${event}`;
    for (const [key, value] of Object.entries(all)) {
      if (value !== undefined) line += ` ${key}=${formatValue(value)}`;
    }
    this.#isSinkFull = !this.#sink.write(`${line}\n`);
  }

  #takeToken(reserved: number): boolean {
    const now = this.#clock.now();
    const earned = ((now - this.#refilledAt) * LINES_PER_SECOND) / 1000;
    this.#tokens = Math.min(BURST_LINES, this.#tokens + earned);
    this.#refilledAt = now;
    if (this.#tokens < 1 + reserved) return false;
    this.#tokens--;
    return true;
  }
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
