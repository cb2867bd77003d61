/** A decoded object whose fields have not been validated. */
export type Fields = Record<string, unknown>;

/** Range of a number; both ends are allowed values. */
export interface NumberRange {
  min: number;
  max: number;
}
