import { randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { messageOf } from '../errors/index.js';
import type { MemberInfo } from '../peers/index.js';
import { EntryError, EntryErrorCode, type EntryContext } from './types.js';

const INCARNATION_BYTES = 8;

/** Creates the member info of this process, with a new random incarnation. */
export function newIdentity({ settings, clock }: EntryContext): MemberInfo {
  return {
    name: settings.name,
    zone: settings.zone,
    host: settings.peers.advertiseHost,
    port: settings.peers.port,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    startedAt: clock.wallTime(),
  };
}

/**
 * Returns the secret for mutual authentication of members, from the settings or the environment.
 */
export function peerSecret({ settings }: EntryContext): string {
  const { secret } = settings.peers;
  return secret === '' ? (process.env[settings.secretEnv] ?? '') : secret;
}

/**
 * Returns the operator token, from a file or the environment.
 *
 * @throws EntryError when no token is set or the file cannot be read
 */
export async function operatorToken({ settings }: EntryContext): Promise<string> {
  const { tokenFile, tokenEnv } = settings.operators;
  const token = tokenFile === undefined ? process.env[tokenEnv] : await readToken(tokenFile);
  if (token !== undefined && token !== '') return token;
  const message = `no operator token: set the environment variable ${tokenEnv} or operators.tokenFile`;
  throw new EntryError(EntryErrorCode.StartFailed, message);
}

async function readToken(file: string): Promise<string> {
  try {
    return (await readFile(file, 'utf8')).trim();
  } catch (err) {
    const message = `cannot read the operator token file ${file}: ${messageOf(err)}`;
    throw new EntryError(EntryErrorCode.StartFailed, message, err);
  }
}
