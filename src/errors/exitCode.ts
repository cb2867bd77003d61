/** Exit codes of the command line and the daemon. */
export enum ExitCode {
  Success = 0,
  Unexpected = 1,
  /** Invalid usage, or an invalid file. */
  Usage = 2,
  /** Another change was committed first. */
  Conflict = 3,
  /** The operator listener cannot be reached, or the requested entity does not exist. */
  NotFound = 4,
  /** The request was refused, or its result is negative, such as a process that is not ready. */
  Refused = 5,
  /** A supervised child task of the daemon exceeded its restart limit. */
  ChildFailed = 70,
}
