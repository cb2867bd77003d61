import { Result } from 'true-myth';
import { checkConfiguration, EntityKind, type ConfigSnapshot } from '../configuration/index.js';
import {
  readYamlFile,
  SettingsError,
  SettingsErrorCode,
  type SettingsProblem,
  type YamlFile,
} from '../settings/index.js';
import { inventorySchema, type Inventory } from './types.js';

/** Entity kinds of an inventory file, with the key of the list that holds them. */
export const INVENTORY_LISTS = [
  { kind: EntityKind.Service, key: 'services' },
  { kind: EntityKind.Pool, key: 'pools' },
  { kind: EntityKind.Team, key: 'teams' },
  { kind: EntityKind.Vm, key: 'vms' },
] as const;

/**
 * Reads and validates an inventory file: schema, duplicate ids, references, and pool rules that
 * cannot be satisfied.
 */
export async function readInventory(file: string): Promise<Result<Inventory, SettingsError>> {
  const read = await readYamlFile(file, inventorySchema);
  if (read.isErr) return Result.err(read.error);
  const problems = findProblems(file, read.value);
  if (problems.length === 0) return Result.ok(read.value.value);
  return Result.err(new SettingsError(SettingsErrorCode.Invalid, problems));
}

function findProblems(file: string, yaml: YamlFile<Inventory>): SettingsProblem[] {
  const duplicates = findDuplicates(file, yaml);
  if (duplicates.length > 0) return duplicates;
  return checkConfiguration(toSnapshot(yaml.value)).map((problem) => {
    const path = pathOf(yaml.value, problem.kind, problem.id);
    return {
      file,
      line: yaml.lineOf(path),
      path: '',
      message: problem.message,
    };
  });
}

function findDuplicates(file: string, yaml: YamlFile<Inventory>): SettingsProblem[] {
  return INVENTORY_LISTS.flatMap(({ kind, key }) => {
    const lines = new Map<string, number>();
    return yaml.value[key].flatMap((entity, index) => {
      const line = yaml.lineOf([key, index, 'id']);
      const first = lines.get(entity.id);
      if (first === undefined) {
        lines.set(entity.id, line);
        return [];
      }
      const message = `found a second ${kind} with id "${entity.id}", expected unique ids (first used on line ${first})`;
      return { file, line, path: `${key}.${index}.id`, message };
    });
  });
}

function pathOf(inventory: Inventory, kind: EntityKind, id: string): PropertyKey[] {
  const list = INVENTORY_LISTS.find((entry) => entry.kind === kind);
  if (!list) return [];
  const index = inventory[list.key].findIndex((entity) => entity.id === id);
  return index < 0 ? [list.key] : [list.key, index];
}

/** Returns the configuration that consists of an inventory only, without any runtime state. */
export function toSnapshot(inventory: Inventory): ConfigSnapshot {
  return {
    version: 0,
    entities: {
      [EntityKind.Service]: inventory.services,
      [EntityKind.Pool]: inventory.pools,
      [EntityKind.Team]: inventory.teams,
      [EntityKind.Vm]: inventory.vms,
      [EntityKind.Assignment]: [],
      [EntityKind.VmStatus]: [],
      [EntityKind.Stop]: [],
      [EntityKind.Move]: [],
      [EntityKind.Wave]: [],
      [EntityKind.OperatorChange]: [],
    },
  };
}
