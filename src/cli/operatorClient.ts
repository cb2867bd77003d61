import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { ExitCode, messageOf } from '../errors/index.js';
import { OperatorErrorCode } from '../operators/index.js';
import { CliError, type CommandFlags } from './types.js';

/** Environment variables used when `--operator` or `--token-file` is not given. */
const OPERATOR_ENV = 'BURDOCKNOTCH_OPERATOR';
const TOKEN_ENV = 'BURDOCKNOTCH_TOKEN';

/** Timeout for the headers and for the body of a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 30_000;

/** HTTP client of one operator listener; failed calls throw a {@link CliError}. */
export interface OperatorClient {
  get<T>(path: string): Promise<T>;
  post<T>(path: string, body: unknown): Promise<T>;
}

interface ErrorResponse {
  code: string;
  message: string;
}

/**
 * Creates a client from `--operator` and `--token-file`, or from the environment.
 *
 * @throws CliError when neither gives the URL of an operator listener
 */
export async function createOperatorClient(flags: CommandFlags): Promise<OperatorClient> {
  const url = flags.operator ?? process.env[OPERATOR_ENV];
  if (url === undefined) {
    const message = `no operator listener: pass --operator URL or set ${OPERATOR_ENV}`;
    throw new CliError('no_operator', message, ExitCode.Usage);
  }
  const token = flags.tokenFile
    ? (await readFile(flags.tokenFile, 'utf8')).trim()
    : (process.env[TOKEN_ENV] ?? '');
  return {
    get: (path) => call(url, token, 'GET', path),
    post: (path, body) => call(url, token, 'POST', path, body),
  };
}

async function call<T>(
  url: string,
  token: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<T> {
  let status: number;
  let resBody: unknown;
  try {
    const res = await request(new URL(path, url), {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
    status = res.statusCode;
    resBody = await res.body.json();
  } catch (err) {
    const message = `no answer from the operator listener at ${url}: ${messageOf(err)}`;
    throw new CliError('unreachable', message, ExitCode.NotFound);
  }
  if (status < 400) return resBody as T;
  const { code, message } = resBody as ErrorResponse;
  throw new CliError(code, message, exitCodeOf(code));
}

const EXIT_CODES: ReadonlyMap<string, ExitCode> = new Map<string, ExitCode>([
  [OperatorErrorCode.Conflict, ExitCode.Conflict],
  [OperatorErrorCode.NotFound, ExitCode.NotFound],
  [OperatorErrorCode.BadRequest, ExitCode.Usage],
  [OperatorErrorCode.Invalid, ExitCode.Usage],
]);

function exitCodeOf(code: string): ExitCode {
  return EXIT_CODES.get(code) ?? ExitCode.Refused;
}
