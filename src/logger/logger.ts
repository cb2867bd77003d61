import { pino, type Logger as PinoLogger } from 'pino';
import type { DestinationStream } from 'pino';
import * as pinoLogfmt from 'pino-logfmt';

/** Structured logger that writes each event as one logfmt line of key=value pairs. */
export type Logger = PinoLogger;

/** Log levels in ascending severity; `Silent` disables all output. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Fields that are redacted at the top level and one level below. */
const SECRET_FIELDS = ['token', 'secret', 'authorization', 'password'];

// The type declarations of pino-logfmt omit its default export, which creates the stream.
const { default: logfmt } = pinoLogfmt as unknown as {
  default: (options: pinoLogfmt.LogFmtTransportOptions) => Promise<DestinationStream>;
};

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  level: LogLevel;
  /** Destination of the log lines; standard output by default. */
  fileDescriptor?: number;
}

/** Creates the logger of a process. */
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

/** Logger without output, for tests and library use. */
export const silentLogger: Logger = pino({ level: LogLevel.Silent });
