import type { NextFunction, Request, RequestHandler, Response } from 'express';
import type { z } from 'zod';
import { ConfigError, ConfigErrorCode, type Commit } from '../configuration/index.js';
import { toError } from '../errors/index.js';
import type { Logger } from '../logger/index.js';
import { OperatorError, OperatorErrorCode } from './types.js';
import type { Result } from 'true-myth';

/** Wraps a handler whose result is sent as JSON and whose failure goes to the error handler. */
export function answerWith(handle: (req: Request) => unknown): RequestHandler {
  return (req: Request, res: Response, next: NextFunction) => {
    Promise.resolve()
      .then(() => handle(req))
      .then((answer) => res.json(answer))
      .catch(next);
  };
}

/** Checks a request body against a schema. */
export function parseBody<T>(req: Request, schema: z.ZodType<T>): T {
  const checked = schema.safeParse(req.body);
  if (checked.success) return checked.data;
  const [issue] = checked.error.issues;
  const path = issue?.path.join('.') ?? '';
  throw new OperatorError(
    OperatorErrorCode.BadRequest,
    `request body${path === '' ? '' : ` at ${path}`}: ${issue?.message ?? 'not understood'}`,
  );
}

const CODE_OF: Record<ConfigErrorCode, OperatorErrorCode> = {
  [ConfigErrorCode.Conflict]: OperatorErrorCode.Conflict,
  [ConfigErrorCode.Invalid]: OperatorErrorCode.Invalid,
  [ConfigErrorCode.PlatformUnavailable]: OperatorErrorCode.PlatformUnavailable,
  [ConfigErrorCode.OutcomeUnknown]: OperatorErrorCode.OutcomeUnknown,
  [ConfigErrorCode.ConditionFailed]: OperatorErrorCode.Conflict,
};

/** Returns the commit, or throws the operator error that answers its failure. */
export function commitOrThrow(result: Result<Commit, ConfigError>): Commit {
  if (result.isOk) return result.value;
  const { code, message, winner } = result.error;
  throw new OperatorError(CODE_OF[code], message, winner ? { winner } : undefined);
}

/** Last handler: turns every failure into a typed JSON answer. */
export function sendError(logger: Logger) {
  return (err: unknown, _req: Request, res: Response, next: NextFunction): void => {
    if (res.headersSent) {
      next(err);
      return;
    }
    const failure = toOperatorError(err);
    if (failure.code === OperatorErrorCode.Internal) {
      logger.error({ event: 'operator_request_failed', error: failure.message });
    }
    const { code, message, status, details } = failure;
    res.status(status).json({ code, message, ...details });
  };
}

function toOperatorError(err: unknown): OperatorError {
  if (err instanceof OperatorError) return err;
  const status = (err as { status?: unknown }).status;
  const isClientFault = typeof status === 'number' && status >= 400 && status < 500;
  const code = isClientFault ? OperatorErrorCode.BadRequest : OperatorErrorCode.Internal;
  return new OperatorError(code, toError(err).message);
}
