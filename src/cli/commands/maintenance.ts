import { ExitCode } from '../../errors/index.js';
import { WaveState, type Wave } from '../../configuration/index.js';
import type { PlannedMaintenance, WaveSelection } from '../../operators/index.js';
import { createOperatorClient, type OperatorClient } from '../operatorClient.js';
import {
  CliError,
  type CommandDefinition,
  type CommandFlags,
  type CommandInput,
  type CommandOutput,
} from '../types.js';
import { authorOf, printRows, printWaves } from './listings.js';

const MS_PER_MINUTE = 60_000;

type Action = (
  client: OperatorClient,
  input: CommandInput,
  output: CommandOutput,
) => Promise<ExitCode>;

const ACTIONS: Readonly<Record<string, Action>> = {
  list: async (client, { flags }, output) => {
    printWaves(output, flags, await client.get<Wave[]>('/v1/maintenance/waves'));
    return ExitCode.Success;
  },
  plan: async (client, { flags }, output) => {
    const plan = await client.post<PlannedMaintenance>('/v1/maintenance/plan', selectionOf(flags));
    if (flags.json) output.print(JSON.stringify(plan));
    else printPlan(output, flags, plan);
    return plan.impossible === undefined ? ExitCode.Success : ExitCode.Refused;
  },
  start: async (client, input, output) => {
    const id = waveId(input);
    const body = { id, author: authorOf(input.flags), selection: selectionOf(input.flags) };
    const { version } = await client.post<{ version: number }>('/v1/maintenance/waves', body);
    output.print(`maintenance ${id} started in version ${version}`);
    return ExitCode.Success;
  },
  pause: (client, input, output) => setState(client, input, output, WaveState.Paused),
  resume: (client, input, output) => setState(client, input, output, WaveState.Running),
};

/** Plans, starts, pauses, resumes and lists maintenance waves. */
export const maintenanceCommand: CommandDefinition = {
  id: 'maintenance',
  summary: 'plan, start, pause, resume and list maintenance waves',
  usage:
    'burdocknotch maintenance [list] | plan [--pool P] [--zone Z] [--vm VM] | start WAVE [--pool P] [--zone Z] [--vm VM] | pause WAVE | resume WAVE',
  examples: [
    'burdocknotch maintenance plan --zone zone-a       # show the batches without starting them',
    'burdocknotch maintenance start kernel-6.1 --zone zone-a',
    'burdocknotch maintenance pause kernel-6.1',
  ],
  async run(input, output) {
    const action = ACTIONS[input.args[0] ?? 'list'];
    if (!action) {
      const names = Object.keys(ACTIONS).join(', ');
      throw new CliError('usage', `expected one of ${names}`, ExitCode.Usage);
    }
    return action(await createOperatorClient(input.flags), input, output);
  },
};

function selectionOf(flags: CommandFlags): WaveSelection {
  return { vms: flags.vm, pools: flags.pool, zones: flags.zone };
}

function waveId({ args }: CommandInput): string {
  const id = args[1];
  if (id === undefined) throw new CliError('usage', 'expected a WAVE id', ExitCode.Usage);
  return id;
}

async function setState(
  client: OperatorClient,
  input: CommandInput,
  output: CommandOutput,
  state: WaveState.Paused | WaveState.Running,
): Promise<ExitCode> {
  const id = waveId(input);
  const body = { author: authorOf(input.flags), state };
  const path = `/v1/maintenance/waves/${encodeURIComponent(id)}/state`;
  const { version } = await client.post<{ version: number }>(path, body);
  output.print(`wave ${id} is ${state} as of version ${version}`);
  return ExitCode.Success;
}

function printPlan(
  output: CommandOutput,
  flags: CommandFlags,
  { waves, batches, lowerBound, expectedMs, impossible }: PlannedMaintenance,
): void {
  const rows = waves.flatMap((wave) =>
    wave.batches.map((vms, index) => ({ wave: wave.id, batch: index + 1, size: vms.length, vms })),
  );
  if (impossible !== undefined) {
    output.print(`no plan is possible: ${impossible}`);
    return;
  }
  printRows(output, flags, rows);
  const minutes = Math.ceil(expectedMs / MS_PER_MINUTE);
  output.print(`${batches} batches (lower bound ${lowerBound}), about ${minutes} min`);
}
