import type { EntityKind } from './types.js';

/** What is wrong with a configuration. */
export enum ConfigProblemCode {
  /** An entity does not match the schema of its kind. */
  InvalidEntity = 'invalid_entity',
  /** The id of a change and the id inside its entity differ. */
  IdMismatch = 'id_mismatch',
  DuplicateId = 'duplicate_id',
  DuplicateExecutor = 'duplicate_executor',
  /** One VM is listed in, or assigned to, more than one pool. */
  VmInTwoPools = 'vm_in_two_pools',
  UnknownPool = 'unknown_pool',
  UnknownVm = 'unknown_vm',
  UnknownWave = 'unknown_wave',
  /** Two services name the same pool; a pool serves one service. */
  PoolServesTwoServices = 'pool_serves_two_services',
  /** A rule asks for more than the pool has. */
  UnsatisfiableRule = 'unsatisfiable_rule',
  /** No VM of the service's pool runs an executor. */
  ServiceWithoutVms = 'service_without_vms',
  /** A move leads to the pool that it starts from. */
  MoveToSamePool = 'move_to_same_pool',
  /** A change set has more changes than fit into one transaction. */
  TooManyChanges = 'too_many_changes',
}

/** One problem of a configuration or change set. */
export interface ConfigProblem {
  code: ConfigProblemCode;
  kind: EntityKind;
  id: string;
  /** Names what was found and what was expected. */
  message: string;
}
