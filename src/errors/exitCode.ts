/** Exit codes of the command line and the daemon. */
export enum ExitCode {
  Success = 0,
  Unexpected = 1,
  /** Wrong usage, or a file that was refused. */
  Usage = 2,
  /** Another change was committed first. */
  Conflict = 3,
  /** The operator listener cannot be reached, or what was asked for does not exist. */
  NotFound = 4,
  Refused = 5,
  /** A supervised child of the daemon kept failing. */
  ChildFailed = 70,
}
