import type { Clock } from '../clock/index.js';
import type { IndexedConfigView, Vm } from '../configuration/index.js';
import { ProbeResult } from '../controller/index.js';
import type { Lifecycle } from '../lifecycle/index.js';
import type { Random } from '../random/index.js';

/** Time between two probes of one VM, in milliseconds. */
const PROBE_INTERVAL_MS = 2_000;

/**
 * VMs probed in one interval. A probe takes about 0.5 ms of processor time, so that 30 a second
 * take 1.5% of a core, whatever the size of the zone.
 */
const PROBES_PER_INTERVAL = 60;

/** Probes running at once. */
const MAX_PROBES = 32;

/** What the regular probes of a zone need. */
export interface VmProbeDeps {
  view: IndexedConfigView;
  zone: string;
  clock: Clock;
  random: Random;
  probe: (vm: string, signal: AbortSignal) => Promise<boolean>;
  /** VMs probed in one interval; in larger zones they take turns. */
  probesPerInterval?: number;
}

/** Regular probes of the VMs of a zone, for the zone controller. */
export interface VmProbes {
  probe(vm: string): Promise<ProbeResult>;
  lastProbe(vm: string): ProbeResult;
  /** Probes the VMs of the zone in turn until the life cycle is closed. */
  run(lifecycle: Lifecycle): Promise<void>;
}

/** Whether a VM that refused work may get some again, by its last probe. */
export function allowsRetry(probe: ProbeResult): boolean {
  return probe === ProbeResult.Healthy || probe === ProbeResult.Unknown;
}

/** Creates the probes of the VMs of a zone. */
export function createVmProbes(deps: VmProbeDeps): VmProbes {
  const { probesPerInterval = PROBES_PER_INTERVAL } = deps;
  const last = new Map<string, ProbeResult>();

  async function probeNow(vm: string, signal: AbortSignal): Promise<ProbeResult> {
    try {
      const isHealthy = await deps.probe(vm, signal);
      return isHealthy ? ProbeResult.Healthy : ProbeResult.Failed;
    } catch {
      return ProbeResult.Unreachable;
    }
  }

  async function probeAll(vms: readonly Vm[], signal: AbortSignal): Promise<void> {
    const queue = [...vms];
    const worker = async () => {
      for (let vm = queue.pop(); vm && !signal.aborted; vm = queue.pop()) {
        last.set(vm.id, await probeNow(vm.id, signal));
      }
    };
    await Promise.all(Array.from({ length: MAX_PROBES }, worker));
  }

  /** The VMs to probe in the next round; forgets the results of those that are gone. */
  function nextRound(): Vm[] {
    const vms = deps.view.vmsOfZone(deps.zone);
    const known = new Set(vms.map(({ id }) => id));
    for (const id of last.keys()) if (!known.has(id)) last.delete(id);
    return vms.filter((vm) => vm.executor !== undefined);
  }

  return {
    probe: (vm) => probeNow(vm, new AbortController().signal),
    lastProbe: (vm) => last.get(vm) ?? ProbeResult.Unknown,
    run: async ({ signal }) => {
      last.clear();
      let waiting: Vm[] = [];
      while (!signal.aborted) {
        if (waiting.length === 0) waiting = nextRound();
        await probeAll(waiting.splice(0, probesPerInterval), signal);
        await deps.clock.sleep(PROBE_INTERVAL_MS * (0.75 + deps.random.next() / 2), signal);
      }
    },
  };
}
