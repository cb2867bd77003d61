export { BaseError, InvariantError, messageOf, toError } from './baseError.js';
