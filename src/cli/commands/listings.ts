import { ExitCode } from '../../errors/index.js';
import { stringify } from 'yaml';
import {
  EntityKind,
  type ConfigDelta,
  type ConfigSnapshot,
  type Wave,
} from '../../configuration/index.js';
import type { Inventory } from '../../inventory/index.js';
import type { JobSummary, PoolStatus, StatusResponse, VmSummary } from '../../operators/index.js';
import { createOperatorClient, type OperatorClient } from '../operatorClient.js';
import { renderTable } from '../table.js';
import {
  CliError,
  type CommandDefinition,
  type CommandFlags,
  type CommandOutput,
} from '../types.js';

/** Prints rows as JSON or as a table. */
export function printRows(
  output: CommandOutput,
  flags: CommandFlags,
  rows: readonly object[],
): void {
  if (flags.json) output.print(JSON.stringify(rows));
  else for (const line of renderTable(rows)) output.print(line);
}

/** Shows the status of one entry process and of the members that it knows. */
export const statusCommand: CommandDefinition = {
  id: 'status',
  summary: 'show the status of an entry process and of the members it knows',
  usage: 'burdocknotch status [--json]',
  examples: ['burdocknotch status --operator http://127.0.0.1:7001'],
  async run({ flags }, output) {
    const client = await createOperatorClient(flags);
    const { members, ...self } = await client.get<StatusResponse>('/v1/status');
    if (flags.json) {
      output.print(JSON.stringify({ ...self, members }));
    } else {
      for (const [key, value] of Object.entries(self)) output.print(`${key}: ${String(value)}`);
      printRows(output, flags, members);
    }
    return self.ready ? ExitCode.Success : ExitCode.Refused;
  },
};

/** Lists pools with their rules and the number of VMs that are away. */
export const poolsCommand: CommandDefinition = {
  id: 'pools',
  summary: 'list pools, their rules and how many VMs are away',
  usage: 'burdocknotch pools [--json]',
  examples: ['burdocknotch pools --json'],
  async run({ flags }, output) {
    const client = await createOperatorClient(flags);
    printRows(output, flags, await client.get<PoolStatus[]>('/v1/pools'));
    return ExitCode.Success;
  },
};

/** Lists VMs, or requests the move of a VM to another pool. */
export const vmsCommand: CommandDefinition = {
  id: 'vms',
  summary: 'list VMs, or move one to another pool',
  usage: 'burdocknotch vms [--pool POOL] [--zone ZONE] | burdocknotch vms move VM POOL',
  examples: ['burdocknotch vms --pool motions', 'burdocknotch vms move vm-17 breakdesk'],
  async run({ args, flags }, output) {
    const client = await createOperatorClient(flags);
    const [action, vm, pool] = args;
    if (action === undefined) {
      const query = new URLSearchParams();
      if (flags.pool?.[0] !== undefined) query.set('pool', flags.pool[0]);
      if (flags.zone?.[0] !== undefined) query.set('zone', flags.zone[0]);
      printRows(output, flags, await client.get<VmSummary[]>(`/v1/vms?${query.toString()}`));
      return ExitCode.Success;
    }
    if (action !== 'move' || vm === undefined || pool === undefined) {
      throw new CliError('usage', 'expected: vms move VM POOL', ExitCode.Usage);
    }
    const body = { author: authorOf(flags), pool };
    const { version } = await client.post<{ version: number }>(
      `/v1/vms/${encodeURIComponent(vm)}/move`,
      body,
    );
    output.print(`move of ${vm} to ${pool} requested in version ${version}`);
    return ExitCode.Success;
  },
};

/** Lists the jobs of an availability zone. */
export const jobsCommand: CommandDefinition = {
  id: 'jobs',
  summary: 'list the jobs of an availability zone',
  usage: 'burdocknotch jobs [--zone ZONE] [--limit N] [--json]',
  examples: ['burdocknotch jobs --zone zone-a --limit 20'],
  async run({ flags }, output) {
    const client = await createOperatorClient(flags);
    const query = new URLSearchParams({ limit: String(flags.limit) });
    if (flags.zone?.[0] !== undefined) query.set('zone', flags.zone[0]);
    printRows(output, flags, await client.get<JobSummary[]>(`/v1/jobs?${query.toString()}`));
    return ExitCode.Success;
  },
};

/** Shows the configuration history, or exports the current inventory. */
export const configCommand: CommandDefinition = {
  id: 'config',
  summary: 'show the configuration history, or export the current inventory',
  usage: 'burdocknotch config history [--limit N] [--json] | burdocknotch config export [--json]',
  examples: [
    'burdocknotch config history --limit 10',
    'burdocknotch config export > inventory.yaml   # edit it, then apply it',
  ],
  async run({ args: [action], flags }, output) {
    if (action !== 'history' && action !== 'export') {
      throw new CliError('usage', 'expected: config history or config export', ExitCode.Usage);
    }
    const client = await createOperatorClient(flags);
    if (action === 'export') await exportInventory(client, flags, output);
    else await printHistory(client, flags, output);
    return ExitCode.Success;
  },
};

/**
 * Prints the current inventory. Its `baseVersion` lets a later `apply` of the file detect changes
 * made in between.
 */
async function exportInventory(
  client: OperatorClient,
  flags: CommandFlags,
  output: CommandOutput,
): Promise<void> {
  const { version, entities } = await client.get<ConfigSnapshot>('/v1/config');
  const inventory: Inventory = {
    baseVersion: version,
    services: entities[EntityKind.Service],
    pools: entities[EntityKind.Pool],
    teams: entities[EntityKind.Team],
    vms: entities[EntityKind.Vm],
  };
  output.print(flags.json ? JSON.stringify(inventory) : stringify(inventory).trimEnd());
}

async function printHistory(
  client: OperatorClient,
  flags: CommandFlags,
  output: CommandOutput,
): Promise<void> {
  const deltas = await client.get<ConfigDelta[]>(`/v1/config/history?limit=${flags.limit}`);
  const rows = deltas.map(({ version, author, changeId, changes }) => ({
    version,
    author,
    changeId,
    changes: flags.json ? changes : changes.map(({ kind, id }) => `${kind}/${id}`).join(' '),
  }));
  printRows(output, flags, rows);
}

/** Prints one row for each maintenance wave. */
export function printWaves(
  output: CommandOutput,
  flags: CommandFlags,
  waves: readonly Wave[],
): void {
  const rows = waves.map(({ id, state, batches, done, reason }) => ({
    wave: id,
    state,
    batches: batches.length,
    vms: batches.flat().length,
    done: done.length,
    reason,
  }));
  printRows(output, flags, rows);
}

/** Returns the name that is recorded as the author of a change. */
export function authorOf(flags: CommandFlags): string {
  return flags.author ?? process.env.USER ?? 'operator';
}
