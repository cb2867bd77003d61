/**
 * Whether a caller may read or cancel a job. A job without an account was submitted to a public
 * queue, or before the deployment had accounts, and is open to every caller that may use a queue.
 *
 * @param owner - account of the job
 * @param caller - account of the caller; undefined if its queue needs no key
 */
export function mayAccessJob(owner: string | undefined, caller: string | undefined): boolean {
  return owner === undefined || owner === caller;
}

/** Whose job has the id of a submitted one. */
export enum JobOwner {
  /** The same account submitted both, so that they are the same job. */
  Same = 'same',
  Other = 'other',
  /** It could not be determined. */
  Unknown = 'unknown',
}

/** Compares the account of an accepted job with that of a submission with the same id. */
export function compareOwner(owner: string | undefined, submitter: string | undefined): JobOwner {
  return owner === submitter ? JobOwner.Same : JobOwner.Other;
}
