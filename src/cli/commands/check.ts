import { ExitCode } from '../../errors/index.js';
import { entrySettingsSchema } from '../../entry/index.js';
import { readInventory } from '../../inventory/index.js';
import { readYamlFile } from '../../settings/index.js';
import { CliError, type CommandDefinition } from '../types.js';

/** Flag that selects a settings file of an entry process instead of an inventory. */
const SETTINGS_FLAG = '--config';

/** Validates an inventory or settings file offline, without contacting an entry process. */
export const checkCommand: CommandDefinition = {
  id: 'check',
  summary: 'check an inventory file, or a settings file with --config',
  usage: 'burdocknotch check INVENTORY | burdocknotch check --config SETTINGS',
  examples: ['burdocknotch check inventory.yaml', 'burdocknotch check --config entry.yaml'],
  async run({ args, flags }, output) {
    const [file] = args;
    const target = flags.config ?? file;
    if (target === undefined) {
      throw new CliError('usage', `check needs a FILE or ${SETTINGS_FLAG} FILE`, ExitCode.Usage);
    }
    const isSettings = flags.config !== undefined;
    const checked = isSettings
      ? await readYamlFile(target, entrySettingsSchema)
      : await readInventory(target);
    if (checked.isOk) {
      output.print(flags.json ? JSON.stringify({ file: target, problems: [] }) : `${target}: ok`);
      return ExitCode.Success;
    }
    const { problems, message } = checked.error;
    if (flags.json) output.print(JSON.stringify({ file: target, problems }));
    else output.printError(message);
    return ExitCode.Usage;
  },
};
