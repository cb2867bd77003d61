export { BaseError, InvariantError, messageOf, toError } from './baseError.js';
export { ExitCode } from './exitCode.js';
