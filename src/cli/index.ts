export { commands } from './commands/index.js';
export { runCli } from './runCli.js';
export { CliError, ExitCode, type CommandDefinition, type CommandOutput } from './types.js';
