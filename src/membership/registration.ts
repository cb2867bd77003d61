import { Result } from 'true-myth';
import { memberInfoSchema, type MemberInfo } from '../peers/index.js';
import type { PlatformResult, Table } from '../platform/index.js';

/** Key prefix of the member rows. */
export const MEMBER_PREFIX = 'member/';

/** Maximum number of member rows per scan over all zones. */
const PAGE_SIZE = 200;

/** Maximum number of member rows per scan of one zone. */
export const ZONE_PAGE_SIZE = 1_000;

/** Key prefix of the member rows of a zone. */
export function zonePrefix(zone: string): string {
  return `${MEMBER_PREFIX}${zone}/`;
}

export function memberKey({ zone, name }: MemberInfo): string {
  return zonePrefix(zone) + name;
}

/** Writes the member row of this process unless it exists or a newer incarnation has written it. */
export async function registerMember(table: Table, self: MemberInfo): PlatformResult<void> {
  const key = memberKey(self);
  const row = await table.get(key);
  if (row.isErr) return Result.err(row.error);
  const found = parseMember(row.value?.value);
  if (found && found.startedAt > self.startedAt) return Result.ok(undefined);
  if (found?.incarnation === self.incarnation) return Result.ok(undefined);
  return table.transact([{ key, version: row.value?.version ?? 0 }], [{ key, value: self }]);
}

/** Deletes the member row of this process unless another incarnation has overwritten it. */
export async function deregisterMember(table: Table, self: MemberInfo): PlatformResult<void> {
  const key = memberKey(self);
  const row = await table.get(key);
  if (row.isErr) return Result.err(row.error);
  if (!row.value || parseMember(row.value.value)?.incarnation !== self.incarnation) {
    return Result.ok(undefined);
  }
  return table.transact([{ key, version: row.value.version }], [{ key }]);
}

/** Reads up to `limit` registered members. Rows that cannot be parsed are skipped. */
export async function registeredMembers(table: Table, limit: number): PlatformResult<MemberInfo[]> {
  const members: MemberInfo[] = [];
  let after: string | undefined;
  do {
    const page = await table.scan(MEMBER_PREFIX, Math.min(PAGE_SIZE, limit), after);
    if (page.isErr) return Result.err(page.error);
    members.push(...page.value.rows.flatMap((row) => parseMember(row.value) ?? []));
    after = page.value.next;
  } while (after !== undefined && members.length < limit);
  return Result.ok(members.slice(0, limit));
}

/** Reads the names of the members registered in a zone, including rows that cannot be parsed. */
export async function registeredMemberNames(table: Table, zone: string): PlatformResult<string[]> {
  const prefix = zonePrefix(zone);
  const names: string[] = [];
  let after: string | undefined;
  do {
    const page = await table.scan(prefix, ZONE_PAGE_SIZE, after);
    if (page.isErr) return Result.err(page.error);
    names.push(...page.value.rows.map(({ key }) => key.slice(prefix.length)));
    after = page.value.next;
  } while (after !== undefined);
  return Result.ok(names);
}

function parseMember(value: unknown): MemberInfo | undefined {
  const parsed = memberInfoSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
