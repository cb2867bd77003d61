import type { CommandDefinition } from '../types.js';
import { applyCommand } from './apply.js';
import { checkCommand } from './check.js';
import { entryCommand } from './entry.js';
import { explainCommand } from './explain.js';
import { configCommand, jobsCommand, poolsCommand, statusCommand, vmsCommand } from './listings.js';
import { maintenanceCommand } from './maintenance.js';

const DEFINITIONS: readonly CommandDefinition[] = [
  entryCommand,
  checkCommand,
  applyCommand,
  statusCommand,
  poolsCommand,
  vmsCommand,
  maintenanceCommand,
  jobsCommand,
  configCommand,
  explainCommand,
];

/** All commands by id. */
export const commands: ReadonlyMap<string, CommandDefinition> = new Map(
  DEFINITIONS.map((definition) => [definition.id, definition]),
);
