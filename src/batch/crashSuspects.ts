import type { Task } from './job.js';
import type { Run } from './worker.js';

/** Part that a run may have had in the crash of its worker. */
export enum CrashRole {
  /** It had run for some time, or another run was more suspicious. */
  Bystander = 'bystander',
  /** It is one of several runs that may have caused the crash. */
  Suspect = 'suspect',
  /** It is the only run that may have caused the crash. */
  Cause = 'cause',
}

/** Runs that started within this time before the last contact with a worker may have crashed it. */
const RECENT_START_MS = 250;
/** Crashes of which a task is the only possible cause, after which it is given up. */
const MAX_CAUSED_CRASHES = 2;
/** Crashes in any role after which a task is given up; it is not started again. */
const MAX_CRASHES = 4;
/** Crashes in any role from which on a task is a suspect. */
const SUSPECT_CRASHES = 2;

/**
 * Attributes the crash of a worker to its runs by the time of their starts. Among runs that had just
 * started, those of tasks that are suspects already are blamed before the others.
 *
 * @param lastContactAt - monotonic time of the last response of the worker, in milliseconds
 */
export function attributeCrash(
  runs: readonly Run[],
  lastContactAt: number,
): ReadonlyMap<Run, CrashRole> {
  const recent = runs.filter((run) => isRecent(run, lastContactAt));
  const knownSuspects = recent.filter(({ task }) => isCrashSuspect(task));
  const possibleCauses = knownSuspects.length > 0 ? knownSuspects : recent;
  // The members of a gang start and end together, so they are suspected together.
  const units = new Set(
    possibleCauses.map(({ task }) => (task.step.spec.isGang ? task.step : task)),
  );
  const causeRole = units.size === 1 ? CrashRole.Cause : CrashRole.Suspect;
  return new Map(
    runs.map((run) => [run, possibleCauses.includes(run) ? causeRole : CrashRole.Bystander]),
  );
}

function isRecent({ isAdopted, startedAt }: Run, lastContactAt: number): boolean {
  return !isAdopted && startedAt >= lastContactAt - RECENT_START_MS;
}

/**
 * Whether the end of a run may turn out to be a crash that it caused, so that a later holder has to
 * know of the run: that of a suspect, or one that had just started when its worker fell silent.
 */
export function mayHaveCrashed(run: Run): boolean {
  const { task, worker } = run;
  const isSilent = worker.unansweredCalls > 0;
  return isCrashSuspect(task) || (isSilent && isRecent(run, worker.lastContactAt));
}

/** Records that a run was lost in the crash of its worker. */
export function addCrash({ task, number }: Run, role: CrashRole): void {
  // Over a long life, a long-running task is beside many crashes that it has no part in.
  if (task.step.spec.isLasting && role === CrashRole.Bystander) return;
  task.crashes ??= new Map();
  task.crashes.set(number, role);
  if (isCrashSuspect(task)) task.step.hasSuspects = true;
}

/** Whether a task may have crashed a worker, so that it has to be started apart from others. */
export function isCrashSuspect({ crashes }: Task): boolean {
  if (!crashes) return false;
  return crashes.size >= SUSPECT_CRASHES || [...crashes.values()].some(isPossibleCause);
}

/** Whether a suspect has probably crashed a worker, so that no other work is left beside it. */
export function isProbableCause({ crashes }: Task): boolean {
  if (!crashes) return false;
  return crashes.size >= SUSPECT_CRASHES || [...crashes.values()].includes(CrashRole.Cause);
}

function isPossibleCause(role: CrashRole): boolean {
  return role !== CrashRole.Bystander;
}

/** Whether a task has crashed so many workers that it is not to be started again. */
export function isGivenUp(task: Task): boolean {
  const { step } = task;
  // The tasks of a gang share run numbers, so a crash is counted once for all of them.
  const members = step.spec.isGang ? step.tasks : [task];
  const crashes = members.flatMap((member) => [...(member.crashes ?? [])]);
  const countRuns = (entries: [number, CrashRole][]) => new Set(entries.map(([run]) => run)).size;
  const caused = crashes.filter(([, role]) => role === CrashRole.Cause);
  return countRuns(crashes) >= MAX_CRASHES || countRuns(caused) >= MAX_CAUSED_CRASHES;
}
