import { timingSafeEqual } from 'node:crypto';
import { Result } from 'true-myth';
import { elapsedMs, type Clock, type Moment } from '../clock/index.js';
import {
  accountRuleDefaults,
  MAX_UNKNOWN_KEY_AGE_MS,
  STALE_RETRY_MS,
  STALE_SHARE,
} from './defaults.js';
import { KeyRefusal, KeyRefusalReason } from './errors.js';
import { decodeDigest, digestOfKey } from './keyDigest.js';
import type { Account, AccountRules } from './types.js';

/** Dependencies of a {@link KeyRegistry}. */
export interface KeyRegistryDeps {
  clock: Clock;
  /** Rules of the deployment; the defaults if undefined. */
  rules?: AccountRules;
}

interface KeyEntry {
  digest: Buffer;
  account: string;
}

/**
 * Decides which account a caller's key belongs to, by the configuration in force and by the time
 * since which that configuration is certainly the newest.
 */
export class KeyRegistry {
  readonly #clock: Clock;
  readonly #rules: AccountRules;
  /** Entries by the first four bytes of their digest, compared in constant time within a bucket. */
  #entries: ReadonlyMap<number, readonly KeyEntry[]> = new Map();
  #hasAccounts = false;
  #version = -Infinity;
  #confirmedAt: Moment = { monotonicMs: -Infinity, wallMs: -Infinity };

  constructor({ clock, rules = accountRuleDefaults }: KeyRegistryDeps) {
    this.#clock = clock;
    this.#rules = rules;
  }

  /** Whether callers need a key for queues that are not public. */
  get isInUse(): boolean {
    return this.#hasAccounts || this.#rules.areKeysRequired;
  }

  /** Replaces the accounts, unless a configuration with a higher version is in force. */
  apply(version: number, accounts: readonly Account[] = []): void {
    if (version < this.#version) return;
    const entries = new Map<number, KeyEntry[]>();
    for (const { name, keyDigests } of accounts) {
      for (const text of keyDigests) {
        const digest = decodeDigest(text);
        if (!digest) continue;
        const bucket = bucketOf(digest);
        const others = entries.get(bucket) ?? [];
        entries.set(bucket, [...others, { digest, account: name }]);
      }
    }
    this.#entries = entries;
    this.#hasAccounts = accounts.length > 0;
    this.#version = version;
  }

  /**
   * Records that the configuration in force was the newest when a successful read was sent. An
   * earlier time than the recorded one has no effect.
   */
  confirm(sentAt: Moment): void {
    if (sentAt.monotonicMs >= this.#confirmedAt.monotonicMs) this.#confirmedAt = sentAt;
  }

  /**
   * Milliseconds since the configuration in force was certainly the newest. Also considers the wall
   * clock, because the monotonic clock stands still while the VM is suspended.
   */
  ageMs(): number {
    return elapsedMs(this.#clock, this.#confirmedAt);
  }

  /**
   * Checks the key of a request.
   *
   * @param key - the key as sent by the caller; undefined or empty if there is none
   * @param isPublic - whether the queue needs no key
   * @returns name of the account; undefined for a public queue and where accounts are not used
   */
  check(
    key: string | Uint8Array | undefined,
    isPublic: boolean,
  ): Result<string | undefined, KeyRefusal> {
    if (isPublic || !this.isInUse) return Result.ok(undefined);
    if (key === undefined || key.length === 0)
      return refusal(KeyRefusalReason.MissingKey, 'the request has no key');
    const ageMs = this.ageMs();
    const { isRevocationStrict, revocationMs } = this.#rules;
    if (isRevocationStrict && ageMs > STALE_SHARE * revocationMs) return staleRefusal();
    const account = this.#find(digestOfKey(key));
    if (account !== undefined) return Result.ok(account);
    if (ageMs > MAX_UNKNOWN_KEY_AGE_MS) return staleRefusal();
    return refusal(KeyRefusalReason.UnknownKey, 'the configuration does not contain the key');
  }

  #find(digest: Buffer): string | undefined {
    let account: string | undefined;
    for (const entry of this.#entries.get(bucketOf(digest)) ?? []) {
      if (timingSafeEqual(entry.digest, digest)) account = entry.account;
    }
    return account;
  }
}

const bucketOf = (digest: Buffer): number => digest.readUInt32BE(0);

function refusal(reason: KeyRefusalReason, message: string): Result<never, KeyRefusal> {
  return Result.err(new KeyRefusal(reason, message));
}

function staleRefusal(): Result<never, KeyRefusal> {
  const message = 'the configuration is too old to decide on the key';
  return Result.err(new KeyRefusal(KeyRefusalReason.StaleConfig, message, STALE_RETRY_MS));
}
