import { Result } from 'true-myth';
import { memberInfoSchema, type MemberInfo } from '../peers/index.js';
import type { PlatformResult, Table } from '../platform/index.js';

/** Prefix of the member rows. */
export const MEMBER_PREFIX = 'member/';

/** Member rows read at once. */
const PAGE_SIZE = 200;

/** Member rows of one zone read at once. */
export const ZONE_PAGE_SIZE = 1_000;

/** Prefix of the member rows of a zone. */
export function zonePrefix(zone: string): string {
  return `${MEMBER_PREFIX}${zone}/`;
}

/** Key of a member's row. */
export function memberKey({ zone, name }: MemberInfo): string {
  return zonePrefix(zone) + name;
}

/** Writes the own member row unless it is there already or a newer incarnation wrote it. */
export async function registerMember(table: Table, self: MemberInfo): PlatformResult<void> {
  const key = memberKey(self);
  const row = await table.get(key);
  if (row.isErr) return Result.err(row.error);
  const found = parseMember(row.value?.value);
  if (found && found.startedAt > self.startedAt) return Result.ok(undefined);
  if (found?.incarnation === self.incarnation) return Result.ok(undefined);
  return table.transact([{ key, version: row.value?.version ?? 0 }], [{ key, value: self }]);
}

/** Deletes the own member row unless another incarnation has written it since. */
export async function deregisterMember(table: Table, self: MemberInfo): PlatformResult<void> {
  const key = memberKey(self);
  const row = await table.get(key);
  if (row.isErr) return Result.err(row.error);
  if (!row.value || parseMember(row.value.value)?.incarnation !== self.incarnation) {
    return Result.ok(undefined);
  }
  return table.transact([{ key, version: row.value.version }], [{ key }]);
}

/** Reads the registered members, at most `limit` of them. Rows that can't be read are left out. */
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

/** Names of the members that are registered in a zone, rows that can't be read included. */
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
