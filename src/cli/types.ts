import { BaseError, type ExitCode } from '../errors/index.js';

/** A command failed; carries the exit code of the process. */
export class CliError extends BaseError<string> {
  readonly exitCode: ExitCode;

  constructor(code: string, message: string, exitCode: ExitCode) {
    super(code, message);
    this.exitCode = exitCode;
  }
}

/** Parsed arguments and flags of a command. */
export interface CommandInput {
  args: string[];
  flags: CommandFlags;
}

/** Flags of all commands; each command reads only some of them. */
export interface CommandFlags {
  json: boolean;
  dryRun: boolean;
  wait: boolean;
  operator?: string;
  tokenFile?: string;
  config?: string;
  author?: string;
  changeId?: string;
  pool?: string[];
  zone?: string[];
  vm?: string[];
  limit: number;
  host?: string;
  path?: string;
  keyFile?: string;
  /** Format of the output: `table` or `json`. */
  output?: string;
}

/** Output of a command; injected so that tests can capture it. */
export interface CommandOutput {
  print(line: string): void;
  printError(line: string): void;
}

/** A command of the command line, with its help texts. */
export interface CommandDefinition {
  id: string;
  summary: string;
  usage: string;
  examples: string[];
  run(input: CommandInput, output: CommandOutput): Promise<ExitCode>;
}
