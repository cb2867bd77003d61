import { BaseError } from '../errors/index.js';

/** One problem found in a YAML file. */
export interface SettingsProblem {
  file: string;
  /** Line number from 1; 0 when the line is unknown, for example if the file could not be read. */
  line: number;
  /** Dotted path of the key, empty for the whole document. */
  path: string;
  /** Describes what was found and what was expected. */
  message: string;
}

/** Codes of {@link SettingsError}. */
export enum SettingsErrorCode {
  /** The file could not be read. */
  Unreadable = 'unreadable',
  /** The file is not valid YAML. */
  Syntax = 'syntax',
  /** The file violates the schema or a rule across entries. */
  Invalid = 'invalid',
}

/** A settings or inventory file is unreadable or invalid. */
export class SettingsError extends BaseError<SettingsErrorCode> {
  readonly problems: readonly SettingsProblem[];

  constructor(code: SettingsErrorCode, problems: readonly SettingsProblem[]) {
    const sorted = [...problems].sort((a, b) => a.line - b.line);
    super(code, sorted.map(formatProblem).join('\n'));
    this.problems = sorted;
  }
}

/** Formats a problem as `file:line: path: message`. */
export function formatProblem({ file, line, path, message }: SettingsProblem): string {
  const location = line > 0 ? `${file}:${line}` : file;
  return path === '' ? `${location}: ${message}` : `${location}: ${path}: ${message}`;
}
