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

/** Longest wait for all members with `--wait`, in milliseconds: the bound for a change. */
const IN_FORCE_BOUND_MS = 8_000;

const POLL_MS = 50;

/** Applies an inventory file. */
export const applyCommand: CommandDefinition = {
  id: 'apply',
  summary: 'apply an inventory file',
  usage: 'burdocknotch apply FILE [--dry-run] [--wait] [--author NAME] [--change-id ID]',
  examples: [
    'burdocknotch apply inventory.yaml --dry-run   # show the difference only',
    'burdocknotch apply inventory.yaml --wait      # wait until every member has it in force',
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
    if (!flags.json) for (const line of differences) output.print(formatDifference(line));
    if (flags.dryRun) {
      report(output, flags, { base: current.version, changes: differences.length, dryRun: true });
      return ExitCode.Success;
    }
    if (differences.length === 0 && flags.changeId === undefined) {
      report(output, flags, { version: current.version, alreadyApplied: true });
      return ExitCode.Success;
    }
    const changeId = flags.changeId ?? defaultChangeId(inventory.value, current.version);
    const commit = await submitParts(client, flags, {
      changeId,
      base: inventory.value.baseVersion ?? current.version,
      parts: splitChanges(
        current,
        differences.map((line) => line.change),
        MAX_CHANGES,
      ),
    });
    report(output, flags, { ...commit, changeId });
    if (flags.wait) await waitUntilInForce(client, commit.version, flags, output);
    return ExitCode.Success;
  },
};

interface SplitChange {
  changeId: string;
  base: number;
  parts: EntityChange[][];
}

/** Submits the parts one after the other; a part that was applied before is not applied again. */
async function submitParts(
  client: OperatorClient,
  flags: CommandFlags,
  { changeId, base, parts }: SplitChange,
): Promise<Commit> {
  let commit: Commit = { version: base, alreadyApplied: true };
  for (const [index, changes] of parts.entries()) {
    const suffix = parts.length > 1 ? `-part-${index + 1}-of-${parts.length}` : '';
    commit = await submit(client, {
      changeId: changeId + suffix,
      author: authorOf(flags),
      // Later parts follow the version of the part before.
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
    const isUnknown =
      err instanceof CliError &&
      ['unreachable', OperatorErrorCode.OutcomeUnknown].includes(err.code);
    if (!isUnknown) throw err;
    const hint = `run the same command with --change-id ${body.changeId} to learn the outcome; it is never applied twice`;
    throw new CliError(err.code, `${err.message}; ${hint}`, err.exitCode);
  }
}

/** The same file against the same version is the same change. */
function defaultChangeId(inventory: Inventory, version: number): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([version, inventory]))
    .digest('hex');
  return `apply-${hash.slice(0, 24)}`;
}

function report(output: CommandOutput, flags: CommandFlags, answer: Record<string, unknown>): void {
  if (flags.json) {
    output.print(JSON.stringify(answer));
  } else if (answer.dryRun === true) {
    output.print(
      `${String(answer.changes)} changes against version ${String(answer.base)}; nothing was applied`,
    );
  } else if (answer.alreadyApplied === true) {
    output.print(`already in force (version ${String(answer.version)}); nothing was applied`);
  } else {
    output.print(
      `accepted as version ${String(answer.version)} (change ${String(answer.changeId)})`,
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
    const behind = status.members.filter((member) => member.configVersion < version);
    if (status.configVersion >= version && behind.length === 0) {
      const elapsedMs = Math.round(systemClock.now() - start);
      if (!flags.json)
        output.print(`in force on all ${status.members.length + 1} members after ${elapsedMs} ms`);
      return;
    }
    if (systemClock.now() - start > IN_FORCE_BOUND_MS) {
      const names = behind.map((member) => member.name).join(', ');
      const message = `version ${version} is not in force on ${names} after ${IN_FORCE_BOUND_MS} ms`;
      throw new CliError('not_in_force', message, ExitCode.Refused);
    }
    await systemClock.sleep(POLL_MS);
  }
}
