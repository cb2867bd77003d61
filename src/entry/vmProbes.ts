import type { Clock } from '../clock/index.js';
import { EntityKind, type IndexedConfigView, type Vm } from '../configuration/index.js';
import { ProbeResult } from '../controller/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Random } from '../random/index.js';

/**
 * Mean time between two batches of probes. Zones of up to {@link PROBES_PER_INTERVAL} VMs are
 * probed completely in each batch.
 */
const PROBE_INTERVAL_MS = 2_000;

/**
 * Maximum number of VMs probed per interval. A probe takes about 0.5 ms of CPU time, so 30 probes
 * per second take 1.5% of a core, regardless of the size of the zone.
 */
const PROBES_PER_INTERVAL = 60;

const MAX_CONCURRENT_PROBES = 32;

/** Dependencies of {@link createVmProbes}. */
export interface VmProbeDeps {
  view: IndexedConfigView;
  zone: string;
  clock: Clock;
  random: Random;
  /** Resolves to whether the VM is healthy; rejects when it cannot be reached. */
  probe: (vm: string, signal: AbortSignal) => Promise<boolean>;
  /** Maximum number of VMs probed per interval; larger zones are probed in several intervals. */
  probesPerInterval?: number;
}

/** Periodic health probes of the VMs of a zone, and their last results. */
export interface VmProbes {
  /** Probes a VM now; the result is not kept. */
  probe(vm: string): Promise<ProbeResult>;
  /** Result of the last periodic probe of a VM. */
  lastProbe(vm: string): ProbeResult;
  /** Probes the VMs of the zone in rounds until the lifecycle is closed. */
  run(lifecycle: Lifecycle): Promise<void>;
}

/** Whether the last probe of a VM allows new work on it after it refused work. */
export function allowsRetry(probe: ProbeResult): boolean {
  return probe === ProbeResult.Healthy || probe === ProbeResult.Unknown;
}

export function createVmProbes(deps: VmProbeDeps): VmProbes {
  const { probesPerInterval = PROBES_PER_INTERVAL } = deps;
  const lastResults = new Map<string, ProbeResult>();

  async function probeNow(vm: string, signal: AbortSignal): Promise<ProbeResult> {
    try {
      const isHealthy = await deps.probe(vm, signal);
      return isHealthy ? ProbeResult.Healthy : ProbeResult.Failed;
    } catch {
      return ProbeResult.Unreachable;
    }
  }

  /** Whether the VM is drained for planned work, so that it may refuse its probes. */
  function isDrained({ id }: Vm): boolean {
    return (
      deps.view.get(EntityKind.Stop, id) !== undefined ||
      deps.view.get(EntityKind.Move, id) !== undefined
    );
  }

  async function probeForStatus(vm: Vm, signal: AbortSignal): Promise<ProbeResult> {
    const wasDrained = isDrained(vm);
    const result = await probeNow(vm.id, signal);
    const mayRefuse = wasDrained || isDrained(vm);
    return result === ProbeResult.Failed && mayRefuse ? ProbeResult.Unknown : result;
  }

  async function probeAll(vms: readonly Vm[], signal: AbortSignal): Promise<void> {
    const queue = [...vms];
    const worker = async () => {
      for (let vm = queue.pop(); vm && !signal.aborted; vm = queue.pop()) {
        lastResults.set(vm.id, await probeForStatus(vm, signal));
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_PROBES }, worker));
  }

  /** Returns the VMs to probe in the next round; drops the results of VMs no longer in the zone. */
  function nextRound(): Vm[] {
    const vms = deps.view.vmsOfZone(deps.zone);
    const known = new Set(vms.map(({ id }) => id));
    for (const id of lastResults.keys()) if (!known.has(id)) lastResults.delete(id);
    return vms.filter((vm) => vm.executor !== undefined);
  }

  return {
    probe: (vm) => probeNow(vm, new AbortController().signal),
    lastProbe: (vm) => lastResults.get(vm) ?? ProbeResult.Unknown,
    run: async ({ signal }) => {
      lastResults.clear();
      let pending: Vm[] = [];
      while (!signal.aborted) {
        if (pending.length === 0) pending = nextRound();
        await probeAll(pending.splice(0, probesPerInterval), signal);
        await deps.clock.sleep(PROBE_INTERVAL_MS * (0.75 + deps.random.next() / 2), signal);
      }
    },
  };
}
