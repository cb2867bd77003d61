import meow from 'meow';
import { ExitCode, messageOf } from '../errors/index.js';
import { commands } from './commands/index.js';
import { CliError, type CommandDefinition, type CommandOutput } from './types.js';

const OVERVIEW = `
Usage: burdocknotch COMMAND [options]

Commands:
${[...commands.values()].map(({ id, summary }) => `  ${id.padEnd(12)} ${summary}`).join('\n')}

Options:
  --operator URL     operator listener (or BURDOCKNOTCH_OPERATOR)
  --token-file FILE  operator token (or BURDOCKNOTCH_TOKEN)
  --json             machine-readable output
  --help             show help; for one command: burdocknotch COMMAND --help

Exit codes: 0 success, 1 unexpected failure, 2 invalid usage or file, 3 conflict,
4 not found or unreachable, 5 refused, 70 a child task of the daemon kept failing
`;

function formatHelp({ usage, summary, examples }: CommandDefinition): string {
  const lines = examples.map((example) => `  ${example}`).join('\n');
  return `${usage}\n\n${summary}\n\nExamples:\n${lines}`;
}

/**
 * Runs the command line.
 *
 * @param argv - arguments after the program name
 * @param output - destination of the lines that the command prints
 * @returns the exit code
 */
export async function runCli(argv: string[], output: CommandOutput): Promise<ExitCode> {
  const cli = meow(OVERVIEW, {
    importMeta: import.meta,
    argv,
    autoHelp: false,
    autoVersion: false,
    description: false,
    flags: {
      help: { type: 'boolean', default: false },
      version: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
      dryRun: { type: 'boolean', default: false },
      wait: { type: 'boolean', default: false },
      operator: { type: 'string' },
      tokenFile: { type: 'string' },
      config: { type: 'string' },
      author: { type: 'string' },
      changeId: { type: 'string' },
      pool: { type: 'string', isMultiple: true },
      zone: { type: 'string', isMultiple: true },
      vm: { type: 'string', isMultiple: true },
      limit: { type: 'number', default: 50 },
      host: { type: 'string' },
      path: { type: 'string' },
      keyFile: { type: 'string' },
      output: { type: 'string' },
    },
  });
  const [id, ...args] = cli.input;
  const command = id === undefined ? undefined : commands.get(id);
  if (cli.flags.version) {
    output.print(String(cli.pkg.version));
    return ExitCode.Success;
  }
  if (cli.flags.help || id === undefined) {
    output.print(command ? formatHelp(command) : cli.help);
    return cli.flags.help ? ExitCode.Success : ExitCode.Usage;
  }
  if (!command) {
    output.printError(`unknown command "${id}"; see burdocknotch --help`);
    return ExitCode.Usage;
  }
  try {
    return await command.run({ args, flags: withoutEmptyLists(cli.flags) }, output);
  } catch (err) {
    output.printError(messageOf(err));
    return err instanceof CliError ? err.exitCode : ExitCode.Unexpected;
  }
}

/** Replaces empty list flags, the default of meow, by undefined, which selects everything. */
function withoutEmptyLists<T extends { pool?: string[]; zone?: string[]; vm?: string[] }>(
  flags: T,
): T {
  const undefinedIfEmpty = (list: string[] | undefined) => (list?.length ? list : undefined);
  return {
    ...flags,
    pool: undefinedIfEmpty(flags.pool),
    zone: undefinedIfEmpty(flags.zone),
    vm: undefinedIfEmpty(flags.vm),
  };
}
