import { readFile } from 'node:fs/promises';
import { request } from 'undici';
import { ExitCode, messageOf } from '../errors/index.js';
import { OperatorErrorCode } from '../operators/index.js';
import { CliError, type CommandFlags } from './types.js';

/** Environment variables read by the command line. */
const OPERATOR_ENV = 'BURDOCKNOTCH_OPERATOR';
const TOKEN_ENV = 'BURDOCKNOTCH_TOKEN';

/** Longest wait for an answer of the operator listener, in milliseconds. */
const ANSWER_TIMEOUT_MS = 30_000;

/** Client of one operator listener. */
export interface OperatorClient {
  get<T>(path: string): Promise<T>;
  post<T>(path: string, body: unknown): Promise<T>;
}

interface ErrorAnswer {
  code: string;
  message: string;
}

/**
 * Creates a client from `--operator` and `--token-file`, or from the environment.
 *
 * @throws CliError when neither names an operator listener
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
  let answer: unknown;
  try {
    const res = await request(new URL(path, url), {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    status = res.statusCode;
    answer = await res.body.json();
  } catch (err) {
    const message = `no answer from the operator listener at ${url}: ${messageOf(err)}`;
    throw new CliError('unreachable', message, ExitCode.NotFound);
  }
  if (status < 400) return answer as T;
  const { code, message } = answer as ErrorAnswer;
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
