import type { NextFunction, Request, RequestHandler, Response } from 'express';
import type { z } from 'zod';
import { ConfigError, ConfigErrorCode, type Commit } from '../configuration/index.js';
import { toError } from '../errors/index.js';
import type { Logger } from '../logger/index.js';
import { OperatorError, OperatorErrorCode } from './types.js';
import type { Result } from 'true-myth';

/** Creates a handler that sends the result as JSON and passes failures to the error handler. */
export function jsonHandler(handle: (req: Request) => unknown): RequestHandler {
  return (req: Request, res: Response, next: NextFunction) => {
    Promise.resolve()
      .then(() => handle(req))
      .then((body) => res.json(body))
      .catch(next);
  };
}

/**
 * Parses a request body with a schema.
 *
 * @throws OperatorError when the body does not match the schema
 */
export function parseBody<T>(req: Request, schema: z.ZodType<T>): T {
  const parsed = schema.safeParse(req.body);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const path = issue?.path.join('.') ?? '';
  throw new OperatorError(
    OperatorErrorCode.BadRequest,
    `request body${path === '' ? '' : ` at ${path}`}: ${issue?.message ?? 'invalid value'}`,
  );
}

const OPERATOR_CODES: Record<ConfigErrorCode, OperatorErrorCode> = {
  [ConfigErrorCode.Conflict]: OperatorErrorCode.Conflict,
  [ConfigErrorCode.Invalid]: OperatorErrorCode.Invalid,
  [ConfigErrorCode.PlatformUnavailable]: OperatorErrorCode.PlatformUnavailable,
  [ConfigErrorCode.OutcomeUnknown]: OperatorErrorCode.OutcomeUnknown,
  [ConfigErrorCode.ConditionFailed]: OperatorErrorCode.Conflict,
};

/**
 * Returns the commit of a successful result.
 *
 * @throws OperatorError with the code that corresponds to the configuration error
 */
export function unwrapCommit(result: Result<Commit, ConfigError>): Commit {
  if (result.isOk) return result.value;
  const { code, message, winner } = result.error;
  throw new OperatorError(OPERATOR_CODES[code], message, winner ? { winner } : undefined);
}

/** Creates the final error handler, which converts every failure to a JSON response with a code. */
export function createErrorHandler(logger: Logger) {
  return (err: unknown, _req: Request, res: Response, next: NextFunction): void => {
    if (res.headersSent) {
      next(err);
      return;
    }
    const operatorError = toOperatorError(err);
    if (operatorError.code === OperatorErrorCode.Internal) {
      logger.error({ event: 'operator_request_failed', error: operatorError.message });
    }
    const { code, message, status, details } = operatorError;
    res.status(status).json({ code, message, ...details });
  };
}

function toOperatorError(err: unknown): OperatorError {
  if (err instanceof OperatorError) return err;
  const status = (err as { status?: unknown }).status;
  const isClientError = typeof status === 'number' && status >= 400 && status < 500;
  const code = isClientError ? OperatorErrorCode.BadRequest : OperatorErrorCode.Internal;
  return new OperatorError(code, toError(err).message);
}
