import { ExitCode } from '../../errors/index.js';
import { entrySettingsSchema, runEntryProcess } from '../../entry/index.js';
import { readYamlFile } from '../../settings/index.js';
import { CliError, type CommandDefinition } from '../types.js';

/** Runs an entry process in the foreground until it is stopped. */
export const entryCommand: CommandDefinition = {
  id: 'entry',
  summary: 'run an entry process',
  usage: 'burdocknotch entry --config FILE',
  examples: ['burdocknotch entry --config entry.yaml'],
  async run({ flags }, output) {
    if (flags.config === undefined) {
      throw new CliError('usage', 'entry needs --config FILE', ExitCode.Usage);
    }
    const settings = await readYamlFile(flags.config, entrySettingsSchema);
    if (settings.isErr) {
      output.printError(settings.error.message);
      return ExitCode.Usage;
    }
    return runEntryProcess(settings.value.value);
  },
};
