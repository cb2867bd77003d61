export { commands } from './commands/index.js';
export { runCli } from './runCli.js';
export { CliError, type CommandDefinition, type CommandOutput } from './types.js';
export { ExitCode } from '../errors/index.js';
