import type { Fields, NumberRange } from './types.js';

/** Whether a value is an object with fields, not a list. */
export function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

export function isText(value: unknown): value is string {
  return typeof value === 'string';
}

export function isOptionalText(value: unknown): value is string | undefined {
  return value === undefined || isText(value);
}

export function isTextList(value: unknown): value is string[] {
  return Array.isArray(value) && value.every(isText);
}

export function isFlag(value: unknown): value is boolean {
  return typeof value === 'boolean';
}

export function isOptionalFlag(value: unknown): value is boolean | undefined {
  return value === undefined || isFlag(value);
}

/** Whether a value is a number within a range; not true of NaN and of a `bigint`. */
export function isNumberIn(value: unknown, { min, max }: NumberRange): value is number {
  return typeof value === 'number' && value >= min && value <= max;
}

/** Whether a value is a whole number within a range that is represented exactly. */
export function isWholeNumberIn(value: unknown, range: NumberRange): value is number {
  return Number.isSafeInteger(value) && isNumberIn(value, range);
}

/** Nearest number within a range. */
export function clamp(value: number, { min, max }: NumberRange): number {
  return Math.min(max, Math.max(min, value));
}

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
