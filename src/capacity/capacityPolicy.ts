import type { Clock } from '../clock/index.js';
import {
  EntityKind,
  MoveState,
  type ConfigView,
  type EntityChange,
  type Move,
} from '../configuration/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Logger } from '../logger/index.js';
import type { ServiceLoad } from '../peers/index.js';
import { createBudgetConsumer } from './buffer.js';
import type { CapacitySettings } from './defaults.js';
import { DemandHistory } from './demandHistory.js';
import { isMovable } from './lenders.js';
import { loadByPool } from './loads.js';
import type { CapacityMetrics } from './metrics.js';
import { capacityPolicies } from './policies.js';
import type {
  CapacityDecision,
  CapacityInput,
  CapacityPolicy,
  CommitMoves,
  MoveRequest,
} from './types.js';

/** Dependencies of the capacity policy. */
export interface CapacityDeps {
  /** Availability zone whose VMs the policy may move. */
  zone: string;
  view: ConfigView;
  /** Load by service, summed over all entry processes; see `fleetLoad`. */
  loads: () => readonly ServiceLoad[];
  /** Zones whose controller has been silent for too long; none by default. */
  silentZones?: () => ReadonlySet<string>;
  commit: CommitMoves;
  clock: Clock;
  logger: Logger;
  metrics: CapacityMetrics;
  settings: CapacitySettings;
  /** Overrides the policy selected in the settings. */
  policy?: CapacityPolicy;
}

const NO_ZONES: ReadonlySet<string> = new Set();

/** Moves that this task requested and that have not started, by VM. */
type OpenRequests = Map<string, { to: string; requestedAt: number }>;

/**
 * Runs the capacity policy periodically; must be called on the holder of the zone's lease. It only
 * requests moves: the zone controller grants and performs them.
 *
 * @returns once the lifecycle is closed
 */
export async function runCapacityPolicy(deps: CapacityDeps, lifecycle: Lifecycle): Promise<void> {
  const { clock, settings } = deps;
  const policy = deps.policy ?? capacityPolicies[settings.policy];
  const history = new DemandHistory();
  const open: OpenRequests = new Map();
  while (!lifecycle.signal.aborted) {
    await runRound(deps, policy, history, open);
    await clock.sleep(settings.intervalMs, lifecycle.signal);
  }
}

async function runRound(
  deps: CapacityDeps,
  policy: CapacityPolicy,
  history: DemandHistory,
  open: OpenRequests,
): Promise<void> {
  const { clock, view, settings, zone } = deps;
  const now = clock.now();
  const loads = loadByPool(view, deps.loads());
  history.observe(now, view, loads, settings);
  let decision: CapacityDecision = { moves: [], refusals: [] };
  let withdrawn: string[] = [];
  const applied = await deps.commit((newest) => {
    const silentZones = deps.silentZones?.() ?? NO_ZONES;
    const input = { now, view: newest, zone, loads, history, silentZones, settings };
    withdrawn = findExpiredRequests(newest, open, now, settings.requestTtlMs);
    decision = decideRound(input, policy);
    return [...withdrawn.map(toWithdrawal), ...decision.moves.map(toMoveRequest)];
  });
  if (applied) recordApplied(deps, decision.moves, withdrawn, open);
  for (const reason of decision.refusals) deps.metrics.movesRefused.inc({ reason });
  recordBuffers(deps, policy);
}

/** Runs a policy once. Drops moves of VMs that cannot be moved, whatever the policy returns. */
export function decideRound(input: CapacityInput, policy: CapacityPolicy): CapacityDecision {
  const consumeBudget = createBudgetConsumer(input, policy.bufferVms);
  const { moves, refusals } = policy.decide(input, consumeBudget);
  return { moves: moves.filter(({ vm }) => isMovable(input.view, vm)), refusals };
}

/**
 * VMs whose requested move has not started within `ttlMs`. Without a withdrawal, the move could
 * start long after the reason for it is gone.
 */
function findExpiredRequests(
  view: ConfigView,
  open: OpenRequests,
  now: number,
  ttlMs: number,
): string[] {
  return [...open]
    .filter(([vm, { to, requestedAt }]) => {
      const move = view.get(EntityKind.Move, vm);
      return move?.state === MoveState.Requested && move.to === to && now - requestedAt >= ttlMs;
    })
    .map(([vm]) => vm);
}

function toWithdrawal(id: string): EntityChange {
  return { kind: EntityKind.Move, id };
}

function toMoveRequest({ vm: id, from, to }: MoveRequest): EntityChange {
  const value: Move = { id, from, to, state: MoveState.Requested };
  return { kind: EntityKind.Move, id, value };
}

function recordApplied(
  { clock, logger, metrics, view }: CapacityDeps,
  moves: readonly MoveRequest[],
  withdrawn: readonly string[],
  open: OpenRequests,
): void {
  for (const [vm] of open) {
    if (view.get(EntityKind.Move, vm)?.state !== MoveState.Requested) open.delete(vm);
  }
  for (const vm of withdrawn) {
    open.delete(vm);
    metrics.movesWithdrawn.inc();
    logger.info({ event: 'move_withdrawn', vm });
  }
  for (const { vm, from, to, reason } of moves) {
    open.set(vm, { to, requestedAt: clock.now() });
    metrics.movesRequested.inc({ reason });
    logger.info({ event: 'move_requested', vm, from, to, reason });
  }
}

function recordBuffers(
  { view, metrics, settings, silentZones }: CapacityDeps,
  policy: CapacityPolicy,
): void {
  const input = { view, settings, silentZones: silentZones?.() ?? NO_ZONES };
  metrics.bufferVms.reset();
  for (const { id: pool } of view.list(EntityKind.Pool)) {
    metrics.bufferVms.set({ pool }, policy.bufferVms(input, pool));
  }
}
