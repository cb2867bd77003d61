import {
  schedulingPolicies,
  SchedulingPolicyId,
  type SchedulingPolicy,
} from '../src/scheduling/index.js';

/** A policy under comparison. */
export interface PolicyVariant {
  name: string;
  policy: SchedulingPolicy;
  /** Whether bounds apply to its figures; other policies are baselines. */
  isBounded: boolean;
}

/** Returns the baselines, followed by the policy whose figures have bounds. */
export function policyVariants(
  candidate = schedulingPolicies[SchedulingPolicyId.LearnedClasses],
): PolicyVariant[] {
  const baselines = [SchedulingPolicyId.FirstComeFirstServed, SchedulingPolicyId.DeclaredClasses];
  return [
    ...baselines.map((id) => ({ name: id, policy: schedulingPolicies[id], isBounded: false })),
    { name: SchedulingPolicyId.LearnedClasses, policy: candidate, isBounded: true },
  ];
}
