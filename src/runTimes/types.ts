import { BaseError } from '../errors/index.js';

/** The fields of a step that its predicted run time depends on. */
export interface TimedStep {
  /** Run time of one task in milliseconds, as declared by the caller; 0 if none was declared. */
  estimateMs: number;
  image: string;
  isLasting: boolean;
}

/** Predicts the run time of one task of a step of a queue, in milliseconds. */
export type PredictMs = (step: TimedStep, queue: string) => number;

/** Predicts the declared estimate. */
export const declaredMs: PredictMs = ({ estimateMs }) => estimateMs;

/** Codes of {@link RunTimesError}. */
export enum RunTimesErrorCode {
  /** A snapshot is not valid JSON. */
  NotJson = 'not_json',
  /** A snapshot has another format or values out of range. */
  Malformed = 'malformed',
}

/** A stored snapshot of learned run times cannot be used. */
export class RunTimesError extends BaseError<RunTimesErrorCode> {}
