import type { EntityKind } from './types.js';

/** Kinds of problems of a configuration or change set. */
export enum ConfigProblemCode {
  /** An entity does not match the schema of its kind. */
  InvalidEntity = 'invalid_entity',
  /** The id of a change differs from the id of its entity. */
  IdMismatch = 'id_mismatch',
  DuplicateId = 'duplicate_id',
  DuplicateExecutor = 'duplicate_executor',
  /** One VM is listed in, or assigned to, more than one pool. */
  VmInTwoPools = 'vm_in_two_pools',
  UnknownPool = 'unknown_pool',
  UnknownVm = 'unknown_vm',
  UnknownWave = 'unknown_wave',
  /** Two services refer to the same pool, but a pool serves only one service. */
  PoolServesTwoServices = 'pool_serves_two_services',
  /** A rule requires more VMs or slots than the pool has. */
  UnsatisfiableRule = 'unsatisfiable_rule',
  /** No VM in the pool of the service runs a backend server. */
  ServiceWithoutVms = 'service_without_vms',
  /** Source and target pool of a move are the same. */
  MoveToSamePool = 'move_to_same_pool',
  /** A change set has more changes than one transaction allows. */
  TooManyChanges = 'too_many_changes',
}

/** One problem of a configuration or change set. */
export interface ConfigProblem {
  code: ConfigProblemCode;
  kind: EntityKind;
  id: string;
  /** Describes what was found and what was expected. */
  message: string;
}
