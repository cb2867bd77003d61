import type { Clock } from '../clock/index.js';

/** Key-value pairs of a log line. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Destination of log lines. `write` returns false when its buffer is full. */
export interface LogSink {
  write(text: string): boolean;
}

/** Average rate and burst size of the rate limit, which bounds the log volume under load. */
const LINES_PER_SECOND = 200;
const BURST_LINES = 400;
/** Part of the burst that {@link DecisionLog.detail} leaves for events of jobs and dependencies. */
const RESERVED_LINES = 150;
/** Lines beyond the burst that only {@link DecisionLog.summary} may use. */
const SUMMARY_LINES = 20;
const MAX_TOKENS = BURST_LINES + SUMMARY_LINES;

enum Severity {
  Info = 'info',
  Warn = 'warn',
}

/**
 * Logs each event as one line of key=value pairs. It never blocks: lines above the rate limit, and
 * lines that the sink cannot accept, are dropped, and the next written line contains their number.
 */
export class DecisionLog {
  readonly #sink: LogSink;
  readonly #clock: Clock;
  #tokens = MAX_TOKENS;
  #refilledAt: number;
  #droppedLines = 0;
  #isSinkFull = false;

  constructor(sink: LogSink, clock: Clock) {
    this.#sink = sink;
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Number of dropped lines that no written line has reported yet. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  info(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields, SUMMARY_LINES);
  }

  /**
   * Logs a periodic summary. Written also at a peak that exhausts the rate limit of the other lines,
   * since only the summaries explain the peak then.
   */
  summary(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields, 0);
  }

  /** Logs an event of a single task. Under load, these lines are dropped first. */
  detail(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields, SUMMARY_LINES + RESERVED_LINES);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Warn, event, fields, SUMMARY_LINES);
  }

  /** Resumes writing; to be called once the sink has drained. */
  handleSinkDrain(): void {
    this.#isSinkFull = false;
  }

  #write(severity: Severity, event: string, fields: LogFields, reservedTokens: number): void {
    if (this.#isSinkFull || !this.#takeToken(reservedTokens)) {
      this.#droppedLines++;
      return;
    }
    const all = { ...fields, left_out: this.#droppedLines > 0 ? this.#droppedLines : undefined };
    this.#droppedLines = 0;
    const time = new Date(this.#clock.wallTime()).toISOString();
    let line = `time=${time} level=${severity} event=${event}`;
    for (const [key, value] of Object.entries(all)) {
      if (value !== undefined) line += ` ${key}=${formatValue(value)}`;
    }
    this.#isSinkFull = !this.#sink.write(`${line}\n`);
  }

  #takeToken(reserved: number): boolean {
    const now = this.#clock.now();
    const refilledTokens = ((now - this.#refilledAt) * LINES_PER_SECOND) / 1000;
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + refilledTokens);
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
