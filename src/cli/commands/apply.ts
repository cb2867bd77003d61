import { ExitCode } from '../../errors/index.js';
import { createHash } from 'node:crypto';
import { systemClock } from '../../clock/index.js';
import {
  MAX_CHANGES,
  type Commit,
  type ConfigSnapshot,
  type EntityChange,
} from '../../configuration/index.js';
import {
  diffInventory,
  formatDifference,
  readInventory,
  splitChanges,
  type Inventory,
} from '../../inventory/index.js';
import {
  OperatorErrorCode,
  type ChangeRequest,
  type StatusResponse,
} from '../../operators/index.js';
import { createOperatorClient, type OperatorClient } from '../operatorClient.js';
import { authorOf } from './listings.js';
import {
  CliError,
  type CommandDefinition,
  type CommandFlags,
  type CommandOutput,
} from '../types.js';

/**
 * Timeout of `--wait` in milliseconds: the time within which every member must have a committed
 * change in force.
 */
const WAIT_TIMEOUT_MS = 8_000;

/** Interval between status requests with `--wait`, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** Submits the differences between an inventory file and the current configuration. */
export const applyCommand: CommandDefinition = {
  id: 'apply',
  summary: 'apply an inventory file',
  usage: 'burdocknotch apply FILE [--dry-run] [--wait] [--author NAME] [--change-id ID]',
  examples: [
    'burdocknotch apply inventory.yaml --dry-run   # only show the differences',
    'burdocknotch apply inventory.yaml --wait      # wait until it is in force on every member',
    'burdocknotch apply inventory.yaml --change-id 2026-12-04-racks   # safe to repeat',
  ],
  async run({ args, flags }, output) {
    const [file] = args;
    if (file === undefined) throw new CliError('usage', 'apply needs a FILE', ExitCode.Usage);
    const inventory = await readInventory(file);
    if (inventory.isErr) throw new CliError('invalid', inventory.error.message, ExitCode.Usage);
    const client = await createOperatorClient(flags);
    const current = await client.get<ConfigSnapshot>('/v1/config');
    const differences = diffInventory(current, inventory.value);
    if (!flags.json)
      for (const difference of differences) output.print(formatDifference(difference));
    if (flags.dryRun) {
      printResult(output, flags, {
        base: current.version,
        changes: differences.length,
        dryRun: true,
      });
      return ExitCode.Success;
    }
    if (differences.length === 0 && flags.changeId === undefined) {
      printResult(output, flags, { version: current.version, alreadyApplied: true });
      return ExitCode.Success;
    }
    const changeId = flags.changeId ?? defaultChangeId(inventory.value, current.version);
    const commit = await submitParts(client, flags, {
      changeId,
      base: inventory.value.baseVersion ?? current.version,
      parts: splitChanges(
        current,
        differences.map((difference) => difference.change),
        MAX_CHANGES,
      ),
    });
    printResult(output, flags, { ...commit, changeId });
    if (flags.wait) await waitUntilInForce(client, commit.version, flags, output);
    return ExitCode.Success;
  },
};

/** A change split into parts that are submitted separately under ids derived from `changeId`. */
interface SplitChangeSet {
  changeId: string;
  base: number;
  parts: EntityChange[][];
}

/** Submits the parts in order. A part that an earlier run applied is not applied again. */
async function submitParts(
  client: OperatorClient,
  flags: CommandFlags,
  { changeId, base, parts }: SplitChangeSet,
): Promise<Commit> {
  let commit: Commit = { version: base, alreadyApplied: true };
  for (const [index, changes] of parts.entries()) {
    const suffix = parts.length > 1 ? `-part-${index + 1}-of-${parts.length}` : '';
    commit = await submit(client, {
      changeId: changeId + suffix,
      author: authorOf(flags),
      // Each later part is based on the version that the previous part was committed as.
      base: index === 0 ? base : commit.version,
      changes,
    });
  }
  return commit;
}

async function submit(client: OperatorClient, body: ChangeRequest): Promise<Commit> {
  try {
    return await client.post<Commit>('/v1/config/changes', body);
  } catch (err) {
    const isOutcomeUnknown =
      err instanceof CliError &&
      ['unreachable', OperatorErrorCode.OutcomeUnknown].includes(err.code);
    if (!isOutcomeUnknown) throw err;
    const hint = `run the same command with --change-id ${body.changeId} to find out; a change is applied at most once`;
    throw new CliError(err.code, `${err.message}; ${hint}`, err.exitCode);
  }
}

/**
 * Derives the change id from the inventory and the base version, so that repeating the command does
 * not apply the change twice.
 */
function defaultChangeId(inventory: Inventory, version: number): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([version, inventory]))
    .digest('hex');
  return `apply-${hash.slice(0, 24)}`;
}

function printResult(
  output: CommandOutput,
  flags: CommandFlags,
  result: Record<string, unknown>,
): void {
  if (flags.json) {
    output.print(JSON.stringify(result));
  } else if (result.dryRun === true) {
    output.print(
      `${String(result.changes)} changes against version ${String(result.base)}; nothing was applied`,
    );
  } else if (result.alreadyApplied === true) {
    output.print(`already in force (version ${String(result.version)}); nothing was applied`);
  } else {
    output.print(
      `accepted as version ${String(result.version)} (change ${String(result.changeId)})`,
    );
  }
}

async function waitUntilInForce(
  client: OperatorClient,
  version: number,
  flags: CommandFlags,
  output: CommandOutput,
): Promise<void> {
  const start = systemClock.now();
  for (;;) {
    const status = await client.get<StatusResponse>('/v1/status');
    const outdated = status.members.filter((member) => member.configVersion < version);
    if (status.configVersion >= version && outdated.length === 0) {
      const elapsedMs = Math.round(systemClock.now() - start);
      if (!flags.json)
        output.print(`in force on all ${status.members.length + 1} members after ${elapsedMs} ms`);
      return;
    }
    if (systemClock.now() - start > WAIT_TIMEOUT_MS) {
      const names = outdated.map((member) => member.name).join(', ');
      const message = `version ${version} is not in force on ${names} after ${WAIT_TIMEOUT_MS} ms`;
      throw new CliError('not_in_force', message, ExitCode.Refused);
    }
    await systemClock.sleep(POLL_INTERVAL_MS);
  }
}
