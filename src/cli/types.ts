import { BaseError, type ExitCode } from '../errors/index.js';

/** A command ended with a failure. */
export class CliError extends BaseError<string> {
  readonly exitCode: ExitCode;

  constructor(code: string, message: string, exitCode: ExitCode) {
    super(code, message);
    this.exitCode = exitCode;
  }
}

/** Parsed command line. */
export interface CommandInput {
  args: string[];
  flags: CommandFlags;
}

/** Flags that commands share; each command uses some of them. */
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
}

/** Where a command writes; injected so that tests can read it. */
export interface CommandOutput {
  print(line: string): void;
  printError(line: string): void;
}

/** One command of the registry. */
export interface CommandDefinition {
  id: string;
  summary: string;
  usage: string;
  examples: string[];
  run(input: CommandInput, output: CommandOutput): Promise<ExitCode>;
}
