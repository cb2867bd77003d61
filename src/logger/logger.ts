import { pino, type Logger as PinoLogger } from 'pino';
import type { DestinationStream } from 'pino';
import * as pinoLogfmt from 'pino-logfmt';

/** Structured logger; each event is one line of key=value pairs. */
export type Logger = PinoLogger;

/** Log levels, least to most severe. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Fields that are never printed, at the top level or one level down. */
const SECRET_FIELDS = ['token', 'secret', 'authorization', 'password'];

// The package's typings omit its default export, the function that builds the stream.
const { default: logfmt } = pinoLogfmt as unknown as {
  default: (options: pinoLogfmt.LogFmtTransportOptions) => Promise<DestinationStream>;
};

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level: LogLevel;
  /** File descriptor that receives the lines. */
  fileDescriptor?: number;
}

/**
 * Creates the logger of a process.
 *
 * @param options - level and destination
 */
export async function createLogger(options: LoggerOptions): Promise<Logger> {
  const stream = await logfmt({
    destination: options.fileDescriptor ?? 1,
    sync: true,
    flattenNestedObjects: true,
    formatTime: true,
    timeFormat: 'isoUtcDateTime',
    escapeMultilineStrings: true,
  });
  const paths = SECRET_FIELDS.flatMap((field) => [field, `*.${field}`]);
  return pino(
    {
      level: options.level,
      base: { pid: process.pid },
      redact: { paths, censor: '[redacted]' },
      formatters: { level: (level) => ({ level }) },
    },
    stream,
  );
}

/** A logger that prints nothing, for tests and library use. */
export const silentLogger: Logger = pino({ level: LogLevel.Silent });
