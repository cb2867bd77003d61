import type { KeyRegistry } from '../accounts/index.js';
import type { Gateway } from '../batch/gateway.js';
import type { HolderDirectory } from '../batch/holderDirectory.js';
import { NodeCallKind } from '../batch/nodeCalls.js';
import type { BatchConfig } from '../batch/types.js';
import type { Clock } from '../clock/index.js';
import { explainDefaults } from './defaults.js';
import {
  ExplainOutcome,
  Unknown,
  type ExplainRequest,
  type HolderExplanation,
  type JobExplanation,
} from './types.js';

/** Id of the job that is explained; callers cannot choose it, as it is no hexadecimal number. */
const EXPLAINED_JOB_ID = 'explained';

/** Dependencies of a {@link JobExplainer}. */
export interface JobExplainerDeps {
  clock: Clock;
  /** Name of this node. */
  node: string;
  config: () => BatchConfig | undefined;
  gateway: Pick<Gateway, 'matchQueue' | 'refusalOf'>;
  holders: Pick<HolderDirectory, 'call' | 'addressOf'>;
  keys: Pick<KeyRegistry, 'check' | 'ageMs'>;
}

/** Explains on any node what would be done with a job now; asks the holder of its service. */
export class JobExplainer {
  readonly #deps: JobExplainerDeps;

  constructor(deps: JobExplainerDeps) {
    this.#deps = deps;
  }

  /** Explains a job. The job is neither submitted nor logged, and the key is not counted. */
  async explain({ host, path, key, decode }: ExplainRequest): Promise<JobExplanation> {
    const { clock, node, config, gateway, holders, keys } = this.#deps;
    const configVersion = config()?.version;
    const base = { node, unknown: [] };
    if (configVersion === undefined)
      return { ...base, outcome: ExplainOutcome.Unknown, unknown: [Unknown.NoConfig] };
    const configAgeMs = Math.round(keys.ageMs());
    const seen = { ...base, configVersion, ...(Number.isFinite(configAgeMs) && { configAgeMs }) };
    const match = gateway.matchQueue(host, path);
    if (!match) return { ...seen, outcome: ExplainOutcome.NoQueue };
    const { queue } = match;
    const { name, service } = queue;
    const found = { ...seen, queue: name, service, isPublic: queue.isPublic === true };
    const caller = keys.check(key, found.isPublic);
    if (caller.isErr) {
      const { code, retryAfterMs } = caller.error;
      const refusal = { reason: code, retryAfterMs };
      return { ...found, outcome: ExplainOutcome.Unauthorized, keyProblem: code, refusal };
    }
    const account = caller.value === undefined ? {} : { account: caller.value };
    const identity = { id: EXPLAINED_JOB_ID, queue: name, acceptedMs: clock.wallTime() };
    const spec = decode({ ...identity, ...account });
    const known = { ...found, ...account };
    if (spec.isErr)
      return { ...known, outcome: ExplainOutcome.Invalid, problem: spec.error.message };
    const refusal = gateway.refusalOf(spec.value);
    if (refusal) return { ...known, outcome: ExplainOutcome.Refused, refusal };
    const holder = holders.addressOf(service);
    const startedAt = clock.now();
    const call = { kind: NodeCallKind.Explain, service, spec: spec.value } as const;
    const res = await holders.call(call, explainDefaults.holderTimeoutMs);
    const asked = { ...known, holder, holderCallMs: Math.round(clock.now() - startedAt) };
    const job = res.isOk ? res.value.explained : undefined;
    if (!job) {
      const holderProblem = res.isErr ? res.error.code : undefined;
      const unknown = [Unknown.HolderUnreachable];
      return { ...asked, outcome: ExplainOutcome.Unknown, holderProblem, unknown };
    }
    const unknown =
      job.configVersion === configVersion ? job.unknown : [...job.unknown, Unknown.OtherConfig];
    const { refusal: refused } = job;
    return {
      ...asked,
      outcome: outcomeOf(job),
      job,
      unknown,
      ...(refused && {
        refusal: { reason: refused.reason, retryAfterMs: refused.retryAfterMs },
      }),
    };
  }
}

function outcomeOf({
  isAccepted,
  startableTasks,
  startedTasks,
}: HolderExplanation): ExplainOutcome {
  if (!isAccepted) return ExplainOutcome.Refused;
  const isPlaced = startableTasks > 0 && startedTasks === startableTasks;
  return isPlaced ? ExplainOutcome.Placed : ExplainOutcome.Waits;
}
