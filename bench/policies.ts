import {
  schedulingPolicies,
  SchedulingPolicyId,
  type SchedulingPolicy,
} from '../src/scheduling/index.js';

/** A policy under comparison. */
export interface PolicyVariant {
  name: string;
  policy: SchedulingPolicy;
  /** Whether its figures have bounds; the others are baselines. */
  isBounded: boolean;
}

/** Baselines and, last, the policy whose figures have bounds. */
export function policyVariants(
  candidate = schedulingPolicies[SchedulingPolicyId.LearnedClasses],
): PolicyVariant[] {
  const baselines = [SchedulingPolicyId.FirstComeFirstServed, SchedulingPolicyId.DeclaredClasses];
  return [
    ...baselines.map((id) => ({ name: id, policy: schedulingPolicies[id], isBounded: false })),
    { name: SchedulingPolicyId.LearnedClasses, policy: candidate, isBounded: true },
  ];
}
