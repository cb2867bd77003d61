import { randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { messageOf } from '../errors/index.js';
import type { MemberInfo } from '../peers/index.js';
import { EntryError, EntryErrorCode, type EntryContext } from './types.js';

/** Length of an incarnation in bytes. */
const INCARNATION_BYTES = 8;

/** A new incarnation of the member that the settings name. */
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

/** The secret that members prove to each other, from the settings or the environment. */
export function peerSecret({ settings }: EntryContext): string {
  const { secret } = settings.peers;
  return secret === '' ? (process.env[settings.secretEnv] ?? '') : secret;
}

/**
 * The operator token, from a file or the environment.
 *
 * @throws EntryError when there is none
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
