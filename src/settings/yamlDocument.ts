import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import {
  isMap,
  isPair,
  isScalar,
  LineCounter,
  parseDocument,
  type Document,
  type Node,
} from 'yaml';
import type { z } from 'zod';
import { messageOf } from '../errors/index.js';
import { SettingsError, SettingsErrorCode, type SettingsProblem } from './types.js';

/** Path of a value inside a document. */
export type ValuePath = readonly PropertyKey[];

/** A parsed YAML file with a lookup of line numbers. */
export interface YamlFile<T> {
  value: T;
  /** Returns the line of the value at a path, or of its nearest existing parent. */
  lineOf(path: ValuePath): number;
}

/** Maximum length of a value quoted in a message, in characters; longer values are truncated. */
const MAX_FOUND_LENGTH = 60;

/**
 * Reads a YAML file and validates it against a schema.
 *
 * @param file - path of the file, used in messages
 * @param schema - schema of the whole document
 * @returns the parsed file, or an error that lists every problem with its line
 */
export async function readYamlFile<T>(
  file: string,
  schema: z.ZodType<T>,
): Promise<Result<YamlFile<T>, SettingsError>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (err) {
    const message = `cannot be read: ${messageOf(err)}`;
    const problem = { file, line: 0, path: '', message };
    return Result.err(new SettingsError(SettingsErrorCode.Unreadable, [problem]));
  }
  return parseYaml(file, text, schema);
}

/** Parses YAML text and validates it against a schema; see {@link readYamlFile}. */
export function parseYaml<T>(
  file: string,
  text: string,
  schema: z.ZodType<T>,
): Result<YamlFile<T>, SettingsError> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  if (document.errors.length > 0) {
    const problems = document.errors.map((err) => ({
      file,
      line: err.linePos?.[0].line ?? 0,
      path: '',
      message: `not valid YAML: ${err.message.split('\n')[0] ?? err.code}`,
    }));
    return Result.err(new SettingsError(SettingsErrorCode.Syntax, problems));
  }
  const lineOf = (path: ValuePath) => lineOfPath(document, lines, path);
  const raw: unknown = document.toJS() ?? {};
  const checked = schema.safeParse(raw, { reportInput: true });
  if (checked.success) return Result.ok({ value: checked.data, lineOf });
  const problems = checked.error.issues.flatMap((issue) => toProblems(file, issue, lineOf));
  return Result.err(new SettingsError(SettingsErrorCode.Invalid, problems));
}

function toProblems(
  file: string,
  issue: z.core.$ZodIssue,
  lineOf: (path: ValuePath) => number,
): SettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      return {
        file,
        line: lineOf(path),
        path: path.join('.'),
        message: `found unknown key "${key}", expected a documented key`,
      };
    });
  }
  const path = issue.path.join('.');
  const message = `found ${formatValue(issue.input)}, expected ${describeExpectation(issue)}`;
  return [{ file, line: lineOf(issue.path), path, message }];
}

function describeExpectation(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `${issue.expected} (write quantities as plain numbers in the unit of the key)`;
    case 'too_small':
      return `at least ${issue.minimum.toString()}`;
    case 'too_big':
      return `at most ${issue.maximum.toString()}`;
    case 'invalid_value':
      return `one of ${issue.values.map(String).join(', ')}`;
    default:
      return issue.message;
  }
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  return text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}...` : text;
}

function lineOfPath(document: Document, lines: LineCounter, path: ValuePath): number {
  for (let length = path.length; length > 0; length--) {
    const offset = offsetOf(document, path.slice(0, length));
    if (offset !== undefined) return lines.linePos(offset).line;
  }
  return 1;
}

function offsetOf(document: Document, path: ValuePath): number | undefined {
  const key = path.at(-1);
  const parent = document.getIn(path.slice(0, -1), true);
  if (isMap(parent)) {
    const pair = parent.items.find(
      (item) => isPair(item) && isScalar(item.key) && item.key.value === key,
    );
    const keyNode = pair?.key as Node | undefined;
    return keyNode?.range?.[0];
  }
  const node = document.getIn(path, true) as Node | undefined;
  return node?.range?.[0];
}
