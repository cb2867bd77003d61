export { createLogger, silentLogger, LogLevel, type Logger, type LoggerOptions } from './logger.js';
