export { formatProblem, SettingsError, SettingsErrorCode, type SettingsProblem } from './types.js';
export { parseYaml, readYamlFile, type ValuePath, type YamlFile } from './yamlDocument.js';
export { renderReference } from './reference.js';
